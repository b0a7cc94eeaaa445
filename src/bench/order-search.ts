/**
 * Searches the orders of events of short histories: `npm run search:order -- --schedules 1000 --seed 1`. It
 * plays all schedules of one interference with the first steps of each name, at most the number given, and
 * as many random schedules of two. `--without FIX` switches a fix off. `--history NAME --schedule TEXT`
 * plays one schedule. Prints each finding, and exits with code 1 if there is any.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import * as util from 'node:util';
import * as explorer from '../scenario/order/explorer.js';
import * as histories from '../scenario/order/histories.js';
import * as scheduleText from '../scenario/order/schedule-text.js';

const {values} = util.parseArgs({
	options: {
		schedules: {type: 'string', default: '200'},
		seed: {type: 'string', default: '1'},
		occurrences: {type: 'string', default: '2'},
		history: {type: 'string'},
		schedule: {type: 'string'},
		without: {type: 'string'},
	},
});

function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** @throws An error when there is no such fix. */
function parseFix(name: string | undefined): histories.MissingFix | undefined {
	const fix = histories.fixes.find((candidate) => candidate === name);
	if (name !== undefined && fix === undefined) {
		throw new Error(
			`no such fix: ${name}; one of ${histories.fixes.join(', ')}`,
		);
	}

	return fix;
}

/** @throws An error when there is no such history. */
function selectHistories(name: string | undefined): histories.History[] {
	const selected = histories.histories.filter(
		(history) => name === undefined || history.name === name,
	);
	if (selected.length === 0) {
		const names = histories.histories.map((history) => history.name);
		throw new Error(`no such history: ${name}; one of ${names.join(', ')}`);
	}

	return selected;
}

/** @returns The number of findings. */
function runSearches(): number {
	const missingFix = parseFix(values.without);
	let findings = 0;
	for (const history of selectHistories(values.history)) {
		if (values.schedule !== undefined) {
			const schedule = scheduleText.parseSchedule(values.schedule);
			const {problems} = histories.runHistory(history, schedule, missingFix);
			printLine(`${history.name}: ${problems.join('; ') || 'no problem'}`);
			findings += Number(problems.length > 0);
			continue;
		}

		const options = {
			history,
			missingFix,
			maxOccurrence: Number(values.occurrences),
			maxSchedules: Number(values.schedules),
			seed: Number(values.seed),
		};
		for (const [kind, search] of [
			['one interference', explorer.searchSingles],
			['two interferences', explorer.searchPairs],
		] as const) {
			const startedAt = performance.now();
			const {count, finding} = search(options);
			const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
			printLine(
				`${history.name}, ${kind}: ${count} schedules in ${seconds} s, ${finding ? `fails with "${scheduleText.formatSchedule(finding.schedule)}": ${finding.problems.join('; ')}` : 'no violation'}`,
			);
			findings += Number(finding !== undefined);
		}
	}

	return findings;
}

process.exitCode = runSearches() > 0 ? 1 : 0;
