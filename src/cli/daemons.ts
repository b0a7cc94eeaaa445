/**
 * The interface between the command line and the daemons in `src/daemon/`, and the loader of their
 * modules.
 */
import type * as types from '../common/types.js';
import type * as settings from '../node/settings/types.js';
import * as exits from './exit-codes.js';

export type RunningDaemon = {
	/** Resolves with the exit code once the daemon has closed all its resources. */
	readonly finished: Promise<number>;
	/** Starts the drain; further calls have no effect. */
	startDrain(): void;
	/** Applies the control peers of changed settings. */
	setControlPeers(controlPeers: readonly types.PeerAddress[]): void;
};

/** Opens the listeners and files of the settings; rejects when one of them cannot be opened. */
export type DaemonStarter = (
	settings: settings.Settings,
) => Promise<RunningDaemon>;

/** The module of each daemon, and the name of the exported function that starts it. */
const modules = {
	proxy: {path: '../daemon/proxy.js', starter: 'startProxy'},
	control: {path: '../daemon/control.js', starter: 'startControl'},
} as const;

/**
 * Loads the daemon of a role.
 *
 * @throws `CommandError` with exit code 1 when this build does not contain it.
 */
export async function loadDaemon(
	role: settings.ProcessRole,
): Promise<DaemonStarter> {
	const {path, starter} = modules[role];
	let daemonModule: Readonly<Record<string, unknown>>;
	try {
		daemonModule = (await import(path)) as typeof daemonModule;
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		if (code !== 'ERR_MODULE_NOT_FOUND') {
			throw error;
		}

		daemonModule = {};
	}

	if (typeof daemonModule[starter] !== 'function') {
		throw new exits.CommandError(
			exits.exitCodes.failed,
			`this build does not contain the ${role} daemon`,
		);
	}

	return daemonModule[starter] as DaemonStarter;
}
