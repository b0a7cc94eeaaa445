import tap from 'tap';
import * as fleets from './fleet/fleet.js';
import type * as fleetTypes from './fleet/fleet-types.js';
import * as interpreter from './fleet/interpreter.js';
import * as naiveFleet from './fleet/naive-fleet.js';
import * as randomPlan from './fleet/random-plan.js';
import * as parser from './parser.js';
import * as runner from './runner.js';

// Seeds 111 and 311 guard against a check that counts an allowed read as a violation: the read of an
// unconfirmed commit that a later promotion drops.
const seeds = [1, 2, 3, 111, 311];

function runRandomScenario(
	seed: number,
	fleet: fleetTypes.ScenarioFleet,
): ReturnType<typeof runner.runScenario> {
	const [scenario] = parser
		.parseScenarios(randomPlan.buildRandomScenario(seed))
		._unsafeUnwrap();
	return runner.runScenario(scenario, [
		new interpreter.FleetInterpreter(fleet),
	]);
}

for (const seed of seeds) {
	const fleetOptions = {proxies: 7, controls: 3, seed};

	// Guards against failures under combinations and timings of faults that no scripted scenario has.
	tap.test(
		`the guarantees hold in the random scenario of seed ${seed}`,
		async (t) => {
			t.same(runRandomScenario(seed, new fleets.Fleet(fleetOptions)), []);
		},
	);

	// Guards against the same with servers that acknowledge commits themselves.
	tap.test(
		`self-acknowledging servers keep the guarantees in the scenario of seed ${seed}`,
		async (t) => {
			const fleet = new fleets.Fleet({...fleetOptions, synchronousReplicas: 1});
			t.same(runRandomScenario(seed, fleet), []);
		},
	);

	// Guards against random scenarios whose expectations hold for every implementation.
	tap.test(
		`the naive version fails in the random scenario of seed ${seed}`,
		async (t) => {
			t.not(
				runRandomScenario(seed, new naiveFleet.NaiveFleet(fleetOptions)).length,
				0,
			);
		},
	);
}

// Before bindings and attempts had an identity, these seeds ended with transactions that were committed in
// part or with false refusals. Seed 78 guards against a transaction that stays open after a frozen BEGIN.
const slowStatementSeeds = [7, 16, 20, 37, 40, 78];

for (const seed of slowStatementSeeds) {
	// Guards against statements of a lost entry that are taken for those of its next instance or of a later
	// transaction.
	tap.test(`slow statements of seed ${seed} are kept apart`, async (t) => {
		const [scenario] = parser
			.parseScenarios(randomPlan.buildSlowStatementScenario(seed))
			._unsafeUnwrap();
		const fleet = new fleets.Fleet({proxies: 7, controls: 3, seed});
		const failures = runner.runScenario(scenario, [
			new interpreter.FleetInterpreter(fleet),
		]);
		t.same(failures, []);
	});
}
