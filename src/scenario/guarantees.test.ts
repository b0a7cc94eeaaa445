import * as fs from 'node:fs';
import tap from 'tap';
import * as fleets from './fleet/fleet.js';
import * as interpreter from './fleet/interpreter.js';
import * as naiveFleet from './fleet/naive-fleet.js';
import * as parser from './parser.js';
import * as runner from './runner.js';

const fleetOptions = {proxies: 7, controls: 3, seed: 1};
const scenarios = parser
	.parseScenarios(fs.readFileSync('scenarios/guarantees.txt', 'utf8'))
	._unsafeUnwrap();

for (const scenario of scenarios) {
	// Guards against the failure that the scenario names.
	tap.test(scenario.name, async (t) => {
		const failures = runner.runScenario(scenario, [
			new interpreter.FleetInterpreter(new fleets.Fleet(fleetOptions)),
		]);
		t.same(failures, []);
	});

	// Guards against a scenario whose expectations hold for every implementation.
	tap.test(`the naive version fails: ${scenario.name}`, async (t) => {
		const failures = runner.runScenario(scenario, [
			new interpreter.FleetInterpreter(new naiveFleet.NaiveFleet(fleetOptions)),
		]);
		t.not(failures.length, 0);
	});
}
