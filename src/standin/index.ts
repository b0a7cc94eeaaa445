/**
 * The PostgreSQL stand-in used by tests, the quickstart and benchmarks.
 */
export {StandInServer} from './server.js';
export type {Faults, StandInOptions} from './types.js';
