/**
 * Registers all commands and runs the one that the arguments name.
 */
import type * as stream from 'node:stream';
import process from 'node:process';
import * as clipanion from 'clipanion';
import * as base from './base-command.js';
import * as checkConfig from './check-config.js';
import * as ctl from './ctl-commands.js';
import * as customers from './customer-commands.js';
import * as daemons from './daemon-commands.js';
import * as exits from './exit-codes.js';
import * as report from './report-command.js';
import * as standIn from './stand-in-command.js';
import * as templates from './template-commands.js';
import * as trace from './trace-command.js';

const version = '0.1.0';

const commands = [
	daemons.ProxyCommand,
	daemons.ControlCommand,
	checkConfig.CheckConfigCommand,
	templates.TemplateGetCommand,
	templates.TemplateSetCommand,
	templates.TemplateHistoryCommand,
	customers.CustomerListCommand,
	customers.CustomerAddCommand,
	customers.CustomerRotateCommand,
	customers.CustomerWithdrawCommand,
	ctl.StatusCommand,
	ctl.MetricsCommand,
	ctl.DrainCommand,
	trace.TraceCommand,
	report.TraceReportCommand,
	standIn.StandInCommand,
	clipanion.Builtins.HelpCommand,
	clipanion.Builtins.VersionCommand,
] as const;

export type Streams = {
	readonly stdin: stream.Readable;
	readonly stdout: stream.Writable;
	readonly stderr: stream.Writable;
};

/** Runs the command that the arguments name; resolves with the exit code. */
export async function runCommandLine(
	args: readonly string[],
	streams: Streams = process,
): Promise<number> {
	const cli = new clipanion.Cli({
		binaryLabel: 'hemlockarch',
		binaryName: 'hemlockarch',
		binaryVersion: version,
		enableColors: false,
	});
	for (const command of commands) {
		cli.register(command);
	}

	const {stdin, stdout, stderr} = streams;
	const context = {stdin, stdout, stderr};
	if (args.length === 0) {
		stderr.write(cli.usage());
		return exits.exitCodes.usage;
	}

	let command: clipanion.Command;
	try {
		command = cli.process([...args], context);
	} catch (error) {
		stderr.write(base.formatError(formatSyntaxError(error)));
		return exits.exitCodes.usage;
	}

	return cli.run(command, context);
}

/** Reduces the parser's message to its first line, without its suggestions. */
function formatSyntaxError(error: unknown): string {
	const message = error instanceof Error ? error.message : String(error);
	const [line] = message.split('\n', 1);
	const problem = line.replace(/(?:; did you mean|, but we're not).*/v, '');
	return `${problem} (see hemlockarch --help)`;
}
