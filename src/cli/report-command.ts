/**
 * `trace report`: summarizes from the logs of all processes which requests were refused or got no
 * answer, where they waited, and when.
 */
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';
import * as reportBuilder from './report/report-builder.js';
import * as reportText from './report/report-text.js';
import * as requestTrace from './request-trace.js';

const minWindowMs = 100;
const maxWindowMs = 86_400_000;
const maxWorstCount = 1000;
/** Problems of the input that are printed; the others are counted only. */
const maxPrintedProblems = 10;

export class TraceReportCommand extends base.BaseCommand {
	static override paths = [['trace', 'report']];
	static override usage = options.buildUsage({
		category: 'Daemons',
		description: 'summarize why requests waited or were refused',
		details:
			'Reads log files, or standard input for `-`. Prints refused and unanswered requests by member and kind, by the place where they waited and by cause, then the windows with most of them. Clocks of VMs may differ.',
	});

	files = options.buildRest({required: 1, name: 'file'});
	from = options.buildText('--from', {
		description: 'leave out lines before this time (ISO 8601)',
	});

	until = options.buildText('--until', {
		description: 'leave out lines from this time on (ISO 8601)',
	});

	windowMs = options.buildText('--window-ms', '5000', {
		description: 'width of the windows in ms (default 5000)',
	});

	worst = options.buildText('--worst', '5', {
		description: 'number of windows to print (default 5)',
	});

	json = options.buildFlag('--json', false, {description: 'write JSON'});

	protected async runCommand(): Promise<exits.ExitCode> {
		const builder = new reportBuilder.ReportBuilder({
			fromAt: readTime('--from', this.from) ?? Number.NEGATIVE_INFINITY,
			untilAt: readTime('--until', this.until) ?? Number.POSITIVE_INFINITY,
			windowMs: base.readNumber('--window-ms', this.windowMs, {
				min: minWindowMs,
				max: maxWindowMs,
			}),
			worstCount: base.readNumber('--worst', this.worst, {
				min: 0,
				max: maxWorstCount,
			}),
		});
		const {parsed, invalid} = await this.readLines(builder);
		if (invalid > 0) {
			this.printError(
				`${invalid} of ${parsed + invalid} lines are no log lines and were left out`,
			);
		}

		if (parsed === 0) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				'the input has no log lines',
			);
		}

		const report = builder.build();
		if (this.json) {
			this.printJson({...report, invalidLines: invalid});
		} else {
			for (const line of reportText.renderReport(report)) {
				this.print(line);
			}
		}

		return exits.exitCodes.done;
	}

	/** Adds the lines of all files to the report. Lines that are no log lines are printed and counted. */
	private async readLines(
		builder: reportBuilder.ReportBuilder,
	): Promise<{parsed: number; invalid: number}> {
		let parsed = 0;
		let invalid = 0;
		for (const file of this.files) {
			let lineNumber = 0;
			for await (const line of this.readInputLines(file)) {
				lineNumber++;
				if (line.trim() === '') {
					continue;
				}

				const decoded = requestTrace.decodeLogLine(line, file);
				if (decoded.isOk()) {
					parsed++;
					builder.add(decoded.value);
					continue;
				}

				invalid++;
				if (invalid <= maxPrintedProblems) {
					this.printError(`${file}:${lineNumber}: ${decoded.error}`);
				}
			}
		}

		return {parsed, invalid};
	}
}

/** Parses the time of an option; throws `CommandError` with exit code 2 when it is not valid. */
function readTime(
	option: string,
	text: string | undefined,
): number | undefined {
	if (text === undefined) {
		return undefined;
	}

	const at = Date.parse(text);
	if (Number.isNaN(at)) {
		throw new exits.CommandError(
			exits.exitCodes.usage,
			`${option}: found ${text}; allowed is a time such as 2026-01-31T10:00:00Z`,
		);
	}

	return at;
}
