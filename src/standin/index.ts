/**
 * The PostgreSQL stand-in used by tests, the quickstart and measurements.
 */
export {StandInServer} from './server.js';
export type {Faults, StandInOptions} from './types.js';
