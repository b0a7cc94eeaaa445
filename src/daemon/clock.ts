/**
 * The clocks of the process. The monotonic clock goes on while the process is stopped, so leases
 * run out during a freeze.
 */
import {performance} from 'node:perf_hooks';
import type * as node from '../node/types.js';

export const systemClock: node.Clock = {
	now: () => performance.now(),
	readWallClock: () => Date.now(),
};
