import tap from 'tap';
import type * as ids from '../common/ids.js';
import * as fleets from './fleet/fleet.js';
import type * as controlProcess from './fleet/control-process.js';

const freezeMs = 3600;
const settleMs = 3000;
const searchMs = 8000;

type Request = controlProcess.PromotionRequest & {readonly peer: ids.PeerId};

/**
 * Crashes the primary, freezes the leader while it opens the connection for the promotion, and thaws it
 * once another peer has led for a while.
 */
function runFrozenLeader(options: fleets.FleetOptions): {
	readonly frozen: ids.PeerId | undefined;
	readonly requests: readonly Request[];
} {
	const fleet = new fleets.Fleet(options);
	const {timeline} = fleet;
	fleet.startUp();
	const controls = [...fleet.controls.values()];
	fleet.findPrimary()?.crash();
	const giveUpAt = timeline.now + searchMs;
	let leader: controlProcess.ControlProcess | undefined;
	while (!leader && timeline.now < giveUpAt) {
		timeline.runUntil(timeline.now + 1);
		leader = controls.find(({isOpeningPromotion}) => isOpeningPromotion);
	}

	leader?.freeze();
	timeline.runUntil(timeline.now + freezeMs);
	leader?.thaw();
	timeline.runUntil(timeline.now + settleMs);
	const requests = controls
		.flatMap(({peer, promotionRequests}) =>
			promotionRequests.map((request) => ({...request, peer})),
		)
		.sort((left, right) => left.at - right.at);
	return {frozen: leader?.peer, requests};
}

/** Requests of a term below one that was sent before, as the platform sees them. */
function findLateRequests(requests: readonly Request[]): Request[] {
	return requests.filter((request, index) =>
		requests
			.slice(0, index)
			.some(({leaderTerm}) => leaderTerm > request.leaderTerm),
	);
}

for (const synchronousReplicas of [undefined, 0, 1]) {
	for (const seed of [1, 2, 3]) {
		const options = {
			proxies: 7,
			controls: 3,
			seed,
			...(synchronousReplicas === undefined ? {} : {synchronousReplicas}),
		};
		const servers = `${synchronousReplicas ?? 'fenced'}, seed ${seed}`;

		// Guards against a leader that was frozen while it opened a connection, and that sends its promotion
		// after another leader has promoted.
		tap.test(`a frozen leader sends no promotion: ${servers}`, async (t) => {
			const {frozen, requests} = runFrozenLeader(options);
			t.ok(frozen, 'the leader was frozen');
			t.ok(requests.length > 0, 'another leader promoted');
			t.same(findLateRequests(requests), []);
		});

		// Guards against a check that every implementation passes.
		tap.test(`without the check it does: ${servers}`, async (t) => {
			const {requests} = runFrozenLeader({
				...options,
				ignoresEndOfLeadership: true,
			});
			t.not(findLateRequests(requests).length, 0);
		});
	}
}
