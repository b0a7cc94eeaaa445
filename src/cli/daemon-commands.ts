/**
 * `proxy` and `control`: run a daemon in the foreground until it is drained. SIGTERM and SIGINT
 * start the drain; a second signal ends the process at once. SIGHUP reads the settings again.
 */
import * as fs from 'node:fs';
import process from 'node:process';
import * as logger from '../node/logging/logger.js';
import * as settingsWatcher from '../node/settings/settings-watcher.js';
import * as settings from '../node/settings/settings.js';
import type * as settingsTypes from '../node/settings/types.js';
import * as base from './base-command.js';
import * as daemons from './daemons.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';

const signals = ['SIGTERM', 'SIGINT'] as const;

abstract class DaemonCommand extends base.BaseCommand {
	settingsFile = options.buildText('--settings', {
		description: 'settings file of this process',
	});

	protected abstract get role(): settingsTypes.ProcessRole;

	protected async runCommand(): Promise<exits.ExitCode> {
		const file = base.readRequired('--settings', this.settingsFile);
		const loaded = settings.loadSettings(file);
		if (loaded.isErr()) {
			for (const problem of loaded.error) {
				this.printError(settings.formatProblem(problem));
			}

			return exits.exitCodes.usage;
		}

		const {role} = loaded.value.process;
		if (role !== this.role) {
			throw new exits.CommandError(
				exits.exitCodes.usage,
				`${file} [process] role: found ${role}; allowed is ${this.role} for this command`,
			);
		}

		// Without a handler, SIGHUP would end the process, also while it starts.
		let reload: (() => void) | undefined;
		const handleReload = () => {
			reload?.();
		};

		process.on('SIGHUP', handleReload);
		try {
			const text = fs.readFileSync(file, 'utf8');
			const start = await daemons.loadDaemon(role);
			const daemon = await start(loaded.value);
			const watcher = createWatcher(file, text, loaded.value, daemon);
			reload = () => {
				watcher.check('signal');
			};

			const code = await waitForExit(daemon);
			return code === 0 ? exits.exitCodes.done : exits.exitCodes.failed;
		} finally {
			process.off('SIGHUP', handleReload);
		}
	}
}

export class ProxyCommand extends DaemonCommand {
	static override paths = [['proxy']];
	static override usage = options.buildUsage({
		category: 'Daemons',
		description: 'run a proxy',
	});

	protected get role(): settingsTypes.ProcessRole {
		return 'proxy';
	}
}

export class ControlCommand extends DaemonCommand {
	static override paths = [['control']];
	static override usage = options.buildUsage({
		category: 'Daemons',
		description: 'run a control peer',
	});

	protected get role(): settingsTypes.ProcessRole {
		return 'control';
	}
}

/** Applies the control peers of changed settings; the other settings need a restart. */
function createWatcher(
	file: string,
	text: string,
	{log}: settingsTypes.Settings,
	daemon: daemons.RunningDaemon,
): settingsWatcher.SettingsWatcher<settingsTypes.Settings> {
	return new settingsWatcher.SettingsWatcher(text, {
		file,
		logger: logger.createLogger(log),
		parse: (changed) =>
			settings
				.parseSettings(changed, file)
				.mapErr((problems) =>
					problems.map((problem) => settings.formatProblem(problem)).join('; '),
				),
		apply({control}) {
			daemon.setControlPeers(
				control.peers.map(({id, address}) => ({peer: id, address})),
			);
			return {
				controlPeers: control.peers.map(({address}) => address).join(','),
			};
		},
	});
}

/** Starts the drain on the first signal; resolves with the exit code of the daemon. */
async function waitForExit(daemon: daemons.RunningDaemon): Promise<number> {
	let isDraining = false;
	const handleSignal = () => {
		if (isDraining) {
			process.exit(exits.exitCodes.failed);
		}

		isDraining = true;
		daemon.startDrain();
	};

	for (const signal of signals) {
		process.on(signal, handleSignal);
	}

	try {
		return await daemon.finished;
	} finally {
		for (const signal of signals) {
			process.off(signal, handleSignal);
		}
	}
}
