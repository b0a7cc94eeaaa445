/**
 * Base class of all commands: output as text or JSON, and error messages of one line.
 */
import * as fs from 'node:fs';
import * as readline from 'node:readline';
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
			throw createReadError(file, error);
		}
	}

	/** Reads the lines of a file, or of standard input for `-`, without keeping the whole text. */
	protected async *readInputLines(file: string): AsyncIterable<string> {
		const input = file === '-' ? this.context.stdin : fs.createReadStream(file);
		try {
			yield* readline.createInterface({
				input,
				crlfDelay: Number.POSITIVE_INFINITY,
			});
		} catch (error) {
			throw createReadError(file, error);
		}
	}

	/** Runs the command; throws `CommandError` for a failure that has its own exit code. */
	protected abstract runCommand(): Promise<exits.ExitCode>;
}

/** Formats an error as one line that begins with the program's name. */
export function formatError(message: string): string {
	return `hemlockarch: ${message.trim().replaceAll(/\s*\n\s*/gv, ' ')}\n`;
}

function createReadError(file: string, error: unknown): exits.CommandError {
	const reason = error instanceof Error ? error.message : String(error);
	return new exits.CommandError(
		exits.exitCodes.usage,
		`cannot read ${file}: ${reason}`,
	);
}

/** Returns the text of a required option; throws `CommandError` with exit code 2 without one. */
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
 * Parses the whole number of an option.
 *
 * @throws `CommandError` with exit code 2 when it is not a number within the limits.
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
