/**
 * What all commands share: output as text or JSON, and errors of one line.
 */
import * as fs from 'node:fs';
import * as stream from 'node:stream/consumers';
import * as clipanion from 'clipanion';
import * as exits from './exit-codes.js';

export abstract class BaseCommand extends clipanion.Command {
	async execute(): Promise<number> {
		try {
			return await this.runCommand();
		} catch (error) {
			if (error instanceof exits.CommandError) {
				this.printError(error.message);
				return error.exitCode;
			}

			this.printError(error instanceof Error ? error.message : String(error));
			return exits.exitCodes.failed;
		}
	}

	/** Writes a line to standard output. */
	protected print(line: string): void {
		this.context.stdout.write(`${line}\n`);
	}

	protected printJson(value: unknown): void {
		this.print(JSON.stringify(value));
	}

	protected printError(message: string): void {
		this.context.stderr.write(formatError(message));
	}

	/** Reads a file, or standard input for `-`. */
	protected async readInput(file: string): Promise<string> {
		if (file === '-') {
			return stream.text(this.context.stdin);
		}

		try {
			return fs.readFileSync(file, 'utf8');
		} catch (error) {
			const reason = error instanceof Error ? error.message : String(error);
			throw new exits.CommandError(
				exits.exitCodes.usage,
				`cannot read ${file}: ${reason}`,
			);
		}
	}

	/** Does the work; throws `CommandError` for a problem that the user shall read. */
	protected abstract runCommand(): Promise<exits.ExitCode>;
}

/** Puts an error on one line behind the program's name. */
export function formatError(message: string): string {
	return `hemlockarch: ${message.trim().replaceAll(/\s*\n\s*/gv, ' ')}\n`;
}

/** Checks that an option was given; throws `CommandError` with exit code 2 otherwise. */
export function readRequired(option: string, text: string | undefined): string {
	if (text === undefined || text === '') {
		throw new exits.CommandError(
			exits.exitCodes.usage,
			`${option} is required`,
		);
	}

	return text;
}

/**
 * Reads the whole number of an option.
 *
 * @throws CommandError with exit code 2 when it is outside of the limits.
 */
export function readNumber(
	option: string,
	text: string,
	limits: {readonly min: number; readonly max: number},
): number {
	const number = /^\d{1,15}$/v.test(text) ? Number(text) : Number.NaN;
	if (!(number >= limits.min && number <= limits.max)) {
		throw new exits.CommandError(
			exits.exitCodes.usage,
			`${option}: found ${text}; allowed is a whole number from ${limits.min} to ${limits.max}`,
		);
	}

	return number;
}
