/**
 * `trace`: prints the lines about one request from the logs of all processes.
 */
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';
import * as requestTrace from './request-trace.js';

const maxWindowMs = 600_000;

export class TraceCommand extends base.BaseCommand {
	static override paths = [['trace']];
	static override usage = options.buildUsage({
		category: 'Daemons',
		description: 'print the log lines about one request',
		details:
			'Reads log files, or standard input for `-`. Prints the lines that name the request, then those about its server, its owner and control in the seconds around it. Clocks of VMs may differ.',
	});

	id = options.buildText({required: true});
	files = options.buildRest({required: 1, name: 'file'});
	windowMs = options.buildText('--window-ms', '3000', {
		description:
			'time before and after the request to search for related lines, in ms (default 3000)',
	});

	json = options.buildFlag('--json', false, {description: 'write JSON'});

	protected async runCommand(): Promise<exits.ExitCode> {
		const windowMs = base.readNumber('--window-ms', this.windowMs, {
			min: 0,
			max: maxWindowMs,
		});
		const lines: requestTrace.LogLine[] = [];
		for (const file of this.files) {
			const text = await this.readInput(file);
			for (const line of text.split('\n')) {
				const parsed = requestTrace.parseLogLine(line, file);
				if (parsed) {
					lines.push(parsed);
				}
			}
		}

		const trace = requestTrace.buildRequestTrace(lines, this.id, windowMs);
		if (trace.own.length === 0) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				`none of ${lines.length} log lines names the request ${this.id}; only requests that were refused or ended without an answer are logged`,
			);
		}

		if (this.json) {
			this.printJson(trace);
		} else {
			this.printTrace(trace);
		}

		return exits.exitCodes.done;
	}

	private printTrace({own, related}: requestTrace.RequestTrace): void {
		for (const line of own) {
			this.print(requestTrace.formatLogLine(line));
		}

		this.print(`${related.length} related lines:`);
		for (const line of related) {
			this.print(requestTrace.formatLogLine(line));
		}
	}
}
