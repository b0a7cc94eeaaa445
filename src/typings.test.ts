/**
 * Compares `typings/hemlockarch.d.ts` with the implementation. The comparison happens at compile
 * time: the build fails when a declared type and its implementation differ. The symbols of brands,
 * `readonly`, and messages that drivers pass on without reading them are not compared.
 */
import tap from 'tap';
import type * as declared from '../typings/hemlockarch.js';
import type * as consensus from './common/consensus/types.js';
import type * as consensusLog from './common/consensus/consensus.js';
import type * as peer from './common/control/peer.js';
import type * as control from './common/control/types.js';
import type * as ids from './common/ids.js';
import type * as metrics from './common/metrics/types.js';
import type * as policy from './common/policy/types.js';
import type * as routing from './common/policy/routing.js';
import type * as context from './common/proxy/context.js';
import type * as owned from './common/proxy/owned-server.js';
import type * as reducer from './common/proxy/reducer.js';
import type * as proxy from './common/proxy/types.js';
import type * as random from './common/random.js';
import type * as template from './common/template/types.js';
import type * as types from './common/types.js';
import type * as daemon from './daemon/types.js';
import type * as settings from './node/settings/types.js';
import * as library from './index.js';

type Leaf = string | number | boolean | undefined | null | Uint8Array;

/** Fields whose objects drivers pass on without reading them. */
type OpaqueField = 'message' | 'command' | 'log';

type Plain<T> =
	T extends ids.Branded<string | number, infer Tag>
		? {tag: Tag}
		: T extends declared.Branded<string | number, infer Tag>
			? {tag: Tag}
			: T extends Leaf
				? T
				: T extends ReadonlySet<infer Item>
					? {set: Plain<Item>}
					: T extends (...parameters: infer Parameters) => infer Value
						? (...parameters: PlainFields<Parameters>) => Plain<Value>
						: PlainFields<T>;

type PlainFields<T> = {
	-readonly [Key in keyof T]: Key extends OpaqueField
		? T[Key] extends string
			? string
			: 'opaque'
		: Plain<T[Key]>;
};

type IsSame<Left, Right> =
	(<T>() => T extends Left ? 1 : 2) extends <T>() => T extends Right ? 1 : 2
		? true
		: false;

/** True when the declaration and the implementation have the same structure. */
type Agrees<Declared, Implemented> = IsSame<
	Plain<Declared>,
	Plain<Implemented>
>;

/** True when a value of the first type can be used where the second is expected. */
type Fits<Value, Target> = [Plain<Value>] extends [Plain<Target>]
	? true
	: false;

/** Compiles only when every entry is `true`. */
type AllTrue<T extends Readonly<Record<string, true>>> = T;

type Command = {readonly type: 'command'};

export type SharedTypesAgree = AllTrue<{
	names: IsSame<keyof typeof library, keyof typeof declared>;
	ids: Agrees<
		[
			declared.PeerId,
			declared.VmId,
			declared.DataCentre,
			declared.MemberId,
			declared.GroupId,
			declared.UpstreamId,
			declared.SessionId,
			declared.RequestId,
			declared.AttemptId,
			declared.ConnectionId,
			declared.ChangeId,
		],
		[
			ids.PeerId,
			ids.VmId,
			ids.DataCentre,
			ids.MemberId,
			ids.GroupId,
			ids.UpstreamId,
			ids.SessionId,
			ids.RequestId,
			ids.AttemptId,
			ids.ConnectionId,
			ids.ChangeId,
		]
	>;
	announcement: Agrees<
		declared.VersionedAnnouncement,
		types.VersionedAnnouncement
	>;
	groupView: Agrees<declared.GroupView, types.GroupView>;
	status: Agrees<declared.UpstreamStatus, types.UpstreamStatus>;
	parameters: Agrees<declared.TemplateParameters, types.TemplateParameters>;
	template: Agrees<declared.Template, types.Template>;
	change: Agrees<declared.TemplateChange, types.TemplateChange>;
	changeResult: Agrees<
		declared.TemplateChangeResult,
		types.TemplateChangeResult
	>;
	logRecord: Agrees<declared.LogRecord, types.LogRecord>;
	verdict: Agrees<declared.Verdict, types.Verdict>;
	refusalReason: Agrees<declared.RefusalReason, types.RefusalReason>;
	problem: Agrees<declared.TemplateProblem, template.TemplateProblem>;
	random: Agrees<declared.RandomSource, random.RandomSource>;
}>;

export type ReducerTypesAgree = AllTrue<{
	config: Agrees<declared.ProxyConfig, context.ProxyConfig>;
	event: Agrees<declared.ProxyEvent, proxy.ProxyEvent>;
	effect: Agrees<declared.ProxyEffect, proxy.ProxyEffect>;
	record: Agrees<declared.RequestRecord, proxy.RequestRecord>;
	services: Agrees<
		Omit<declared.ProxyServices, 'createScheduler'>,
		Omit<reducer.ProxyServices, 'createScheduler'>
	>;
	createScheduler: declared.ProxyServices['createScheduler'] extends (
		slots: number,
	) => declared.AdmissionScheduler<owned.OwnerRequest>
		? Agrees<
				declared.AdmissionScheduler<owned.OwnerRequest>,
				ReturnType<reducer.ProxyServices['createScheduler']>
			>
		: false;
	serviceNames: IsSame<
		keyof declared.ProxyServices,
		keyof reducer.ProxyServices
	>;
	proxy: Fits<library.ProxyReducer, declared.ProxyReducer>;
	controlOptions: Agrees<declared.ControlPeerOptions, peer.ControlPeerOptions>;
	controlEvent: Agrees<declared.ControlPeerEvent, peer.ControlPeerEvent>;
	controlEffect: Agrees<declared.ControlPeerEffect, peer.ControlPeerEffect>;
	controlPeer: Fits<library.ControlPeer, declared.ControlPeer>;
	replicatedLogNames: IsSame<
		keyof declared.ReplicatedLog,
		keyof control.ReplicatedLog
	>;
	logEvent: Agrees<
		declared.ConsensusEvent<Command>,
		consensus.ConsensusEvent<Command>
	>;
	logEffect: Agrees<
		declared.ConsensusEffect<Command>,
		consensus.ConsensusEffect<Command>
	>;
	storage: Agrees<declared.LogStorage<Command>, consensus.LogStorage<Command>>;
	logOptions: Agrees<
		declared.ConsensusOptions<Command>,
		Omit<consensusLog.ConsensusOptions<Command>, 'faults'>
	>;
	log: Agrees<declared.Consensus<Command>, library.Consensus<Command>>;
}>;

export type PolicyAndDaemonTypesAgree = AllTrue<{
	scheduler: Agrees<
		declared.AdmissionScheduler<string>,
		policy.AdmissionScheduler<string>
	>;
	schedulerOptions: Agrees<declared.AdmissionOptions, policy.AdmissionOptions>;
	schedulerClass: Agrees<
		declared.ServerAdmissionScheduler<string>,
		library.ServerAdmissionScheduler<string>
	>;
	routing: Agrees<declared.RoutingPolicy, policy.RoutingPolicy>;
	routingOptions: Agrees<declared.RoutingOptions, routing.RoutingOptions>;
	routingClass: Agrees<
		declared.LeastWaitRoutingPolicy,
		library.LeastWaitRoutingPolicy
	>;
	newLeastWaitRoutingPolicy: Agrees<
		ConstructorParameters<typeof declared.LeastWaitRoutingPolicy>,
		ConstructorParameters<typeof library.LeastWaitRoutingPolicy>
	>;
	newSuccessRetryBudget: Agrees<
		ConstructorParameters<typeof declared.SuccessRetryBudget>,
		ConstructorParameters<typeof library.SuccessRetryBudget>
	>;
	newMetrics: Agrees<
		ConstructorParameters<typeof declared.Metrics>,
		ConstructorParameters<typeof library.Metrics>
	>;
	newHedgeDelayEstimator: Agrees<
		ConstructorParameters<typeof declared.HedgeDelayEstimator>,
		ConstructorParameters<typeof library.HedgeDelayEstimator>
	>;
	newControlPeer: Agrees<
		ConstructorParameters<typeof declared.ControlPeer>,
		ConstructorParameters<typeof library.ControlPeer>
	>;
	retryBudget: Agrees<declared.RetryBudget, policy.RetryBudget>;
	retryClass: Agrees<declared.SuccessRetryBudget, library.SuccessRetryBudget>;
	hedging: Agrees<declared.HedgeDelayEstimator, library.HedgeDelayEstimator>;
	snapshot: Agrees<declared.MetricsSnapshot, metrics.MetricsSnapshot>;
	metrics: Agrees<declared.Metrics, library.Metrics>;
	settings: Agrees<declared.Settings, settings.Settings>;
	running: Agrees<declared.RunningDaemon, daemon.RunningDaemon>;
	startProxy: Agrees<
		Parameters<typeof declared.startProxy>,
		Parameters<typeof library.startProxy>
	>;
	startControl: Agrees<
		Parameters<typeof declared.startControl>,
		Parameters<typeof library.startControl>
	>;
	formatProblem: Agrees<
		typeof declared.formatProblem,
		typeof library.formatProblem
	>;
	renderTemplate: Agrees<
		typeof declared.renderTemplate,
		typeof library.renderTemplate
	>;
	createRandom: Agrees<
		typeof declared.createRandom,
		typeof library.createRandom
	>;
	isFloorReached: Agrees<
		typeof declared.isFloorReached,
		typeof library.isFloorReached
	>;
}>;

// Guards against a comparison that passes whatever differs: a missing field, another id type and
// `any` must count as differences. A comparison that never passes fails in the checks above.
export type ComparisonWorks = AllTrue<{
	missingField: IsSame<Agrees<{a?: 1; b: 2}, {b: 2}>, false>;
	otherId: IsSame<Agrees<declared.PeerId, ids.VmId>, false>;
	unknownType: IsSame<Agrees<any, {b: 2}>, false>;
}>;

/** Every declared value, by name. */
const declaredNames: Readonly<Record<keyof typeof declared, true>> = {
	Consensus: true,
	ControlPeer: true,
	HedgeDelayEstimator: true,
	LeastWaitRoutingPolicy: true,
	Metrics: true,
	ProxyReducer: true,
	ServerAdmissionScheduler: true,
	SuccessRetryBudget: true,
	comparePositions: true,
	createRandom: true,
	formatPosition: true,
	formatProblem: true,
	isFloorReached: true,
	maxPosition: true,
	parsePosition: true,
	parseTemplate: true,
	ranks: true,
	renderTemplate: true,
	startControl: true,
	startProxy: true,
	zeroPosition: true,
};

// Guards against a value that is declared but missing at run time, or the other way round.
tap.test('the exported values are exactly the declared ones', async (t) => {
	t.same(Object.keys(library).sort(), Object.keys(declaredNames).sort());
});
