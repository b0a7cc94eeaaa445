import tap from 'tap';
import * as fleets from './fleet/fleet.js';
import type * as fleetTypes from './fleet/fleet-types.js';
import * as interpreter from './fleet/interpreter.js';
import * as naiveFleet from './fleet/naive-fleet.js';
import * as randomPlan from './fleet/random-plan.js';
import * as parser from './parser.js';
import * as runner from './runner.js';

// 111 and 311 once showed reads of commits that a promotion dropped later.
const seeds = [1, 2, 3, 111, 311];

function runPlan(
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
	const size = {proxies: 7, controls: 3, seed};

	// Guards against failures in combinations and at times that no scripted scenario has.
	tap.test(`random plan ${seed}`, async (t) => {
		t.same(runPlan(seed, new fleets.Fleet(size)), []);
	});

	// Guards against plans that cannot fail.
	tap.test(`naive: random plan ${seed}`, async (t) => {
		t.not(runPlan(seed, new naiveFleet.NaiveFleet(size)).length, 0);
	});
}
