import tap from 'tap';
import type * as ids from '../common/ids.js';
import * as fleets from './fleet/fleet.js';
import type * as controlProcess from './fleet/control-process.js';
import * as promotionRequests from './fleet/promotion-requests.js';

const freezeMs = 3600;
const settleMs = 3000;
const searchMs = 8000;

/**
 * Crashes the primary, freezes the leader while it opens the connection for the promotion, and thaws it
 * once another peer has led for a while.
 */
function runFrozenLeader(options: fleets.FleetOptions): {
	readonly frozen: ids.PeerId | undefined;
	readonly requests: readonly promotionRequests.SentPromotion[];
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
	const requests = promotionRequests.listPromotionRequests(controls);
	return {frozen: leader?.peer, requests};
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
			t.same(promotionRequests.findLateRequests(requests), []);
		});

		// Guards against a check that every implementation passes.
		tap.test(`without the check it does: ${servers}`, async (t) => {
			const {requests} = runFrozenLeader({
				...options,
				ignoresEndOfLeadership: true,
			});
			t.not(promotionRequests.findLateRequests(requests).length, 0);
		});
	}
}
