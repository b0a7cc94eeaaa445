/**
 * How long a request that no server can run waits before it is routed again.
 *
 * Load pattern: a database has no primary or no owner for a second, and every request that arrives
 * meanwhile waits. News from control and owners routes waiting requests at once; the timer only covers
 * what no message tells, such as an owner that refuses. Routing all of them every few milliseconds takes
 * the processor time that the remaining databases need.
 */

const firstDelayMs = 20;
const maxDelayMs = 80;

/**
 * Returns the time until the next try in ms.
 *
 * @param waits - Waits of the request so far.
 */
export function computeRouteRetryDelay(waits: number): number {
	return Math.min(maxDelayMs, firstDelayMs * 2 ** Math.min(waits, 8));
}
