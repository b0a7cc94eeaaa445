/**
 * Runs random scenarios, with servers of both kinds, and plans with customers on a fleet of production
 * reducers, and random losses of control peers. Prints one JSON line per seed that violates a guarantee, and exits with code 1 if there is
 * any.
 *
 * Usage: npm run search:fleet -- [runs] [first seed]
 */
import process from 'node:process';
import * as customerPlan from '../scenario/customers/random-plan.js';
import * as customerRun from '../scenario/customers/run.js';
import * as controlGroup from '../scenario/fleet/control-group.js';
import * as fleets from '../scenario/fleet/fleet.js';
import * as interpreter from '../scenario/fleet/interpreter.js';
import * as randomPlan from '../scenario/fleet/random-plan.js';
import * as parser from '../scenario/parser.js';
import * as runner from '../scenario/runner.js';

const runs = Number(process.argv[2] ?? 50);
const firstSeed = Number(process.argv[3] ?? 1);
/** Servers with fences, and servers that acknowledge commits themselves. */
const serverModes = [{}, {synchronousReplicas: 1}];
let failed = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	const failures = [
		randomPlan.buildRandomScenario(seed),
		randomPlan.buildSlowStatementScenario(seed),
	].flatMap((text) =>
		serverModes.flatMap((mode) =>
			runner.runScenario(parser.parseScenarios(text)._unsafeUnwrap()[0], [
				new interpreter.FleetInterpreter(
					new fleets.Fleet({proxies: 7, controls: 3, seed, ...mode}),
				),
			]),
		),
	);
	const problems = [true, false].flatMap((endsWithRestart) =>
		controlGroup.runRandomLosses(seed, endsWithRestart),
	);
	const violations = customerRun.listViolations(
		customerRun.runPlan(customerPlan.buildPlan(seed)),
	);
	if (failures.length + problems.length + violations.length > 0) {
		failed++;
		console.log(JSON.stringify({seed, failures, problems, violations}));
	}
}

console.log(JSON.stringify({runs, firstSeed, failed}));
process.exitCode = failed === 0 ? 0 : 1;
