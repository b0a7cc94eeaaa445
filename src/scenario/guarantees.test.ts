import * as fs from 'node:fs';
import tap from 'tap';
import * as fleets from './fleet/fleet.js';
import * as interpreter from './fleet/interpreter.js';
import * as naiveFleet from './fleet/naive-fleet.js';
import * as parser from './parser.js';
import * as runner from './runner.js';
import type * as types from './types.js';

const fleetOptions = {proxies: 7, controls: 3, seed: 1};

function readScenarios(file: string): types.Scenario[] {
	return parser.parseScenarios(fs.readFileSync(file, 'utf8'))._unsafeUnwrap();
}

const scenarios = readScenarios('scenarios/guarantees.txt');
/** Its bound holds for servers that are promoted at once; the other file has it for those that are not. */
const fencedOnly = 'a departing primary is replaced without an act';
const selfAcknowledgingScenarios = [
	...scenarios.filter(({name}) => name !== fencedOnly),
	...readScenarios('scenarios/self-acknowledging.txt'),
];

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

for (const scenario of selfAcknowledgingScenarios) {
	// Guards against the failure that the scenario names, where the servers acknowledge commits themselves.
	const title = `self-acknowledging servers: ${scenario.name}`;
	tap.test(title, async (t) => {
		const fleet = new fleets.Fleet({...fleetOptions, synchronousReplicas: 1});
		const failures = runner.runScenario(scenario, [
			new interpreter.FleetInterpreter(fleet),
		]);
		t.same(failures, [], title);
	});
}
