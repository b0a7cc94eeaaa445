/**
 * Entry point of the library: the reducers of both roles, the policies that they need, and the
 * daemons. Its types are declared in `typings/hemlockarch.d.ts`.
 */
export {Consensus} from './common/consensus/consensus.js';
export {ControlPeer} from './common/control/peer.js';
export {Metrics} from './common/metrics/metrics.js';
export {ServerAdmissionScheduler} from './common/policy/admission.js';
export {HedgeDelayEstimator} from './common/policy/hedge-delay.js';
export {SuccessRetryBudget} from './common/policy/retry-budget.js';
export {LeastWaitRoutingPolicy} from './common/policy/routing.js';
export {
	comparePositions,
	formatPosition,
	isFloorReached,
	maxPosition,
	parsePosition,
	zeroPosition,
} from './common/position.js';
export {ProxyReducer} from './common/proxy/reducer.js';
export {createRandom} from './common/random.js';
export {formatProblem, parseTemplate} from './common/template/parse.js';
export {renderTemplate} from './common/template/render.js';
export {ranks} from './common/types.js';
export {startControl} from './daemon/control.js';
export {startProxy} from './daemon/proxy.js';
