/** Builds a proxy reducer that holds a lease, from which the cost measurements start. */
import {ServerAdmissionScheduler} from '../common/policy/admission.js';
import {LeastWaitRoutingPolicy} from '../common/policy/routing.js';
import {SuccessRetryBudget} from '../common/policy/retry-budget.js';
import type * as ids from '../common/ids.js';
import {ProxyReducer} from '../common/proxy/reducer.js';
import {createRandom} from '../common/random.js';
import type * as types from '../common/types.js';
import {benchParameters} from './run.js';

const controlPeer = 'control-1' as ids.PeerId;

/** Same as in the current deployments. */
const serversPerGroup = 3;

/** Builds the announcement of the server numbered `index`. */
export function buildAnnouncement(index: number): types.Announcement {
	return {
		group: `group-${Math.floor(index / serversPerGroup)}` as ids.GroupId,
		server: `server-${index}` as ids.UpstreamId,
		address: `10.0.${index >> 8}.${index & 255}:5432`,
		dataCentre: `place-${index % serversPerGroup}` as ids.DataCentre,
		role: index % serversPerGroup === 0 ? 'primary' : 'replica',
		term: 1,
		position: 100,
		slots: 3,
		connectionLimit: 25,
		departing: false,
		startedAt: 1,
	};
}

/** Builds the first version of a member's template. */
export function buildTemplate(member: ids.MemberId): types.Template {
	return {
		member,
		version: 1,
		text: `[member]\ndefault_rank = normal\n# ${member}\n`,
		changeId: 'initial' as ids.ChangeId,
	};
}

/** Builds a proxy that has just been granted its first lease. */
export function buildReducerWithLease(seed: number): ProxyReducer {
	const reducer: ProxyReducer = new ProxyReducer(
		{
			peer: 'proxy-1' as ids.PeerId,
			vm: 'vm-1' as ids.VmId,
			address: '10.0.0.1:7000',
			dataCentre: 'place-0' as ids.DataCentre,
			incarnation: 1,
			controlPeers: [{peer: controlPeer, address: '10.0.0.2:7000'}],
			drainDeadlineMs: 30_000,
			maxSessions: Infinity,
		},
		{
			routing: new LeastWaitRoutingPolicy(),
			retryBudget: new SuccessRetryBudget(),
			hedging: {
				observe: () => undefined,
				computeDelay: () => Infinity,
			},
			createScheduler: (slots) =>
				new ServerAdmissionScheduler({
					slots,
					getParameters: (member) => reducer.templates.getParameters(member),
				}),
			parseTemplate: () => benchParameters,
		},
		createRandom(seed),
	);
	reducer.start(0);
	reducer.step({
		type: 'peerLinkChanged',
		now: 1,
		peer: controlPeer,
		up: true,
	});
	const effects = reducer.step({type: 'tick', now: 1});
	for (const effect of effects) {
		if (effect.type === 'sendPeer' && effect.message.type === 'renewLease') {
			reducer.step({
				type: 'peerMessage',
				now: 2,
				from: controlPeer,
				message: {
					type: 'leaseGranted',
					sequence: effect.message.sequence,
					durationMs: 1500,
					owned: [],
					groups: [],
					owners: [],
					templates: [buildTemplate('aloe' as ids.MemberId)],
					confirmed: [],
					appliedIndex: 1,
				},
			});
		}
	}

	// The proxy accepts sessions from the first tick after the grant.
	reducer.step({type: 'tick', now: 3});
	return reducer;
}
