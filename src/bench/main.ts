/**
 * Command line of the load tool: prints one JSON line per case and deployment, then a table.
 */
/* eslint new-cap: ["error", {"capIsNewExceptionPattern": "^clipanion\\."}] -- clipanion's declarations are capitalised functions */
import process from 'node:process';
import * as clipanion from 'clipanion';
import * as types from '../common/types.js';
import {
	benchCases,
	type BenchCase,
	type CaseResult,
	type Measure,
} from './cases.js';
import {deployments, type Deployment} from './deployment.js';
import {writeReport} from './report.js';

const defaultSeed = 1;

/** The results of one case in one deployment with one seed. */
export type ComparedResult = {
	readonly benchCase: BenchCase;
	readonly deployment: Deployment;
	readonly policy: CaseResult;
	readonly naive: CaseResult;
};

class BenchCommand extends clipanion.Command {
	static override readonly usage = clipanion.Command.Usage({
		description: 'Measures routing and admission under load, in virtual time.',
		examples: [
			['All cases', 'npm run bench'],
			['One case', 'npm run bench -- --case urgent-flood --seed 7'],
		],
	});

	caseName = clipanion.Option.String('--case', {
		description: `one of ${benchCases.map(({name}) => name).join(', ')}`,
	});

	deploymentName = clipanion.Option.String('--deployment', {
		description: 'kalahari or birbhum',
	});

	seed = clipanion.Option.String('--seed', String(defaultSeed), {
		description: 'whole number',
	});

	report = clipanion.Option.String('--report', {
		description: 'folder for an HTML page with plots',
	});

	override async execute(): Promise<number> {
		const seed = Number(this.seed);
		const selectedCases = benchCases.filter(
			({name}) => this.caseName === undefined || name === this.caseName,
		);
		const selectedDeployments = deployments.filter(
			({name}) =>
				this.deploymentName === undefined || name === this.deploymentName,
		);
		if (
			selectedCases.length === 0 ||
			selectedDeployments.length === 0 ||
			!Number.isInteger(seed)
		) {
			this.context.stderr.write(
				'bench: unknown case or deployment, or the seed is not a whole number\n',
			);
			return 2;
		}

		const results: ComparedResult[] = [];
		for (const benchCase of selectedCases) {
			for (const deployment of selectedDeployments) {
				const result = {
					benchCase,
					deployment,
					policy: benchCase.run(deployment, 'policy', seed),
					naive: benchCase.run(deployment, 'naive', seed),
				};
				results.push(result);
				this.context.stdout.write(`${formatJsonLine(result, seed)}\n`);
			}
		}

		this.context.stdout.write(`\n${formatTable(results)}\n`);
		if (this.report !== undefined) {
			await writeReport(this.report, results, seed);
		}

		return 0;
	}
}

function formatJsonLine(result: ComparedResult, seed: number): string {
	return JSON.stringify({
		case: result.benchCase.name,
		deployment: result.deployment.name,
		seed,
		measures: result.policy.measures.map((measure, index) => ({
			name: measure.name,
			target: measure.target,
			measured: measure.value,
			naive: result.naive.measures[index].value,
			met: measure.isMet,
		})),
		policy: describeRun(result.policy),
		naive: describeRun(result.naive),
	});
}

function describeRun({run}: CaseResult): unknown {
	const {recorder, slotTimeMs, totalSlotTimeMs} = run;
	return {
		ranks: Object.fromEntries(
			types.ranks.map((rank) => [
				rank,
				{
					...recorder.ranks[rank],
					slotShare: slotTimeMs[rank] / totalSlotTimeMs,
					p50Ms: recorder.latencies[rank].getValueAtPercentile(50) / 1000,
					p99Ms: recorder.latencies[rank].getValueAtPercentile(99) / 1000,
				},
			]),
		),
		refusals: Object.fromEntries(recorder.refusalCounts),
		maxStalenessMs: recorder.maxStalenessMs,
	};
}

function formatTable(results: readonly ComparedResult[]): string {
	const rows = [
		['case', 'deployment', 'measure', 'target', 'measured', 'naive', 'met'],
		...results.flatMap((result) =>
			result.policy.measures.map((measure, index) => [
				result.benchCase.name,
				result.deployment.name,
				measure.name,
				measure.target,
				formatValue(measure),
				formatValue(result.naive.measures[index]),
				measure.isMet ? 'yes' : 'NO',
			]),
		),
	];
	const widths = rows[0].map((_, column) =>
		Math.max(...rows.map((row) => row[column].length)),
	);
	return rows
		.map((row) =>
			row
				.map((cell, column) => cell.padEnd(widths[column]))
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
}

function formatValue(measure: Measure): string {
	return measure.target.includes('%')
		? `${(measure.value * 100).toFixed(2)}%`
		: String(measure.value);
}

const cli = new clipanion.Cli({
	binaryLabel: 'hemlockarch bench',
	binaryName: 'npm run bench --',
});
cli.register(BenchCommand);
process.exitCode = await cli.run(process.argv.slice(2));
