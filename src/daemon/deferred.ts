/**
 * A promise that is resolved from outside; Node.js 20 has no `Promise.withResolvers`.
 */

export type Deferred<Value> = {
	readonly promise: Promise<Value>;
	/** Fulfils the promise; later calls have no effect. */
	resolve(value: Value): void;
};

export function createDeferred<Value>(): Deferred<Value> {
	let resolve: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>((fulfil) => {
		resolve = fulfil;
	});
	return {promise, resolve};
}
