/**
 * Exit codes of the command line. Scripts rely on them; docs/OPERATIONS.md lists them.
 */
export const exitCodes = {
	done: 0,
	/** Refused or failed; nothing was changed. */
	failed: 1,
	/** Invalid arguments, or an invalid settings or template file. */
	usage: 2,
	/** The outcome of a change is unknown; resend it with the same change id. */
	unknown: 3,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Ends a command with an exit code and an error message of one line. */
export class CommandError extends Error {
	/**
	 * @param exitCode - The exit code of the process.
	 * @param message - One sentence without the program's name.
	 */
	constructor(
		readonly exitCode: ExitCode,
		message: string,
	) {
		super(message);
		this.name = 'CommandError';
	}
}
