/**
 * What the command line needs of the daemons in `src/daemon/`, and how it loads them.
 */
import type * as settings from '../node/settings/types.js';
import * as exits from './exit-codes.js';

/** A started daemon. */
export type RunningDaemon = {
	/** Resolves with the exit code when the daemon has closed everything. */
	readonly finished: Promise<number>;
	/** Begins the graceful shutdown; further calls change nothing. */
	startDrain(): void;
};

/** Opens everything that the settings name; rejects when something cannot be opened. */
export type DaemonStarter = (
	settings: settings.Settings,
) => Promise<RunningDaemon>;

/** Modules of the daemons with the name of the function that starts them. */
const modules = {
	proxy: {path: '../daemon/proxy.js', starter: 'startProxy'},
	control: {path: '../daemon/control.js', starter: 'startControl'},
} as const;

/**
 * Loads the daemon of a role.
 *
 * @throws CommandError with exit code 1 when this build does not contain it.
 */
export async function loadDaemon(
	role: settings.ProcessRole,
): Promise<DaemonStarter> {
	const {path, starter} = modules[role];
	let loaded: Readonly<Record<string, unknown>>;
	try {
		loaded = (await import(path)) as typeof loaded;
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		if (code !== 'ERR_MODULE_NOT_FOUND') {
			throw error;
		}

		loaded = {};
	}

	if (typeof loaded[starter] !== 'function') {
		throw new exits.CommandError(
			exits.exitCodes.failed,
			`this build does not contain the ${role} daemon`,
		);
	}

	return loaded[starter] as DaemonStarter;
}
