/**
 * Watches a settings file while the process runs, and applies what can change without a restart. The
 * format of the file and what applies are injected.
 */
import * as fs from 'node:fs';
import type * as neverthrow from 'neverthrow';
import type * as node from '../types.js';

/** May be long: restarts are rare, and a restarted process reads the file anyway. */
const checkIntervalMs = 5000;

export type SettingsWatcherOptions<Settings> = {
	readonly file: string;
	readonly logger: node.Logger;
	/** Returns the settings, or what is wrong with the text. */
	readonly parse: (text: string) => neverthrow.Result<Settings, string>;
	/** Applies the settings that a running process can change; returns them for the log. */
	readonly apply: (changed: Settings) => Readonly<Record<string, string>>;
};

export class SettingsWatcher<Settings> {
	#text: string;
	#timer: NodeJS.Timeout | undefined;

	/** @param text - The settings that the process was started with. */
	constructor(
		text: string,
		private readonly options: SettingsWatcherOptions<Settings>,
	) {
		this.#text = text;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.check('change');
		}, checkIntervalMs);
		this.#timer.unref();
	}

	/** Reads the file and applies it when it has changed; an invalid file changes nothing. */
	check(cause: 'signal' | 'change'): void {
		const text = this.#readFile();
		if (text === undefined || text === this.#text) {
			if (cause === 'signal') {
				this.#log('info', 'The settings have not changed', {cause});
			}

			return;
		}

		this.#text = text;
		this.options.parse(text).match(
			(changed) => {
				const applied = this.options.apply(changed);
				this.#log('info', 'Applied the changed settings', {cause, ...applied});
			},
			(problem) => {
				this.#log('error', 'Invalid settings; keeping the earlier ones', {
					cause,
					problem,
				});
			},
		);
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#readFile(): string | undefined {
		try {
			return fs.readFileSync(this.options.file, 'utf8');
		} catch (error) {
			this.#log(
				'warn',
				'Cannot read the settings file; keeping the earlier settings',
				{problem: String(error)},
			);
			return undefined;
		}
	}

	#log(
		level: 'info' | 'warn' | 'error',
		message: string,
		fields: Readonly<Record<string, string>>,
	): void {
		this.options.logger.write({level, part: 'reload', message, fields});
	}
}
