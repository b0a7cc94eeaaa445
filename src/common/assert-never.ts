/**
 * Support for exhaustive switches over discriminated unions.
 */

/**
 * Fails the type check when a variant of a union is not handled.
 *
 * @param value - The value that no case of the switch matched.
 * @returns Never; it always throws an `Error` that names the unhandled variant.
 */
export function assertNever(value: never): never {
	throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
