/**
 * Predicates for the shape of decoded data. Each peer checks several messages a second, so they are
 * cheaper to build and to run than the schemas of a general library.
 */

/** Returns whether a value has the shape. */
export type Shape = (value: unknown) => boolean;

export const isText: Shape = (value) => typeof value === 'string';
export const isFlag: Shape = (value) => typeof value === 'boolean';
/** A counter, term, index or version. */
export const isCount: Shape = (value) => Number.isFinite(value);
/** A number of things, which is never negative. */
export const isAmount: Shape = (value) => isCount(value) && Number(value) >= 0;
/** A duration or position, which may be infinite. */
export const isQuantity: Shape = (value) =>
	typeof value === 'number' && !Number.isNaN(value);
/** Bytes that consist of elements of a fixed size. */
export function createBytes(elementSize: number): Shape {
	return (value) =>
		value instanceof Uint8Array && value.length % elementSize === 0;
}

export const isAbsent: Shape = (value) => value === undefined;

export function createLiteral(values: readonly string[]): Shape {
	return (value) => values.includes(value as string);
}

export function createOptional(shape: Shape): Shape {
	return (value) => value === undefined || shape(value);
}

export function createUnion(shapes: readonly Shape[]): Shape {
	return (value) => shapes.some((shape) => shape(value));
}

export function createArray(shape: Shape): Shape {
	return (value) =>
		Array.isArray(value) && value.every((element) => shape(element));
}

export function createTuple(shapes: readonly Shape[]): Shape {
	return (value) =>
		Array.isArray(value) &&
		value.length === shapes.length &&
		shapes.every((shape, index) => shape(value[index]));
}

/** An object with these fields; others are ignored. */
export function createObject(fields: Readonly<Record<string, Shape>>): Shape {
	const entries = Object.entries(fields);
	return (value) =>
		typeof value === 'object' &&
		value !== null &&
		entries.every(([name, shape]) =>
			shape((value as Readonly<Record<string, unknown>>)[name]),
		);
}
