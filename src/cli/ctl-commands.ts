/**
 * `ctl status`, `ctl metrics` and `ctl drain`.
 */
import * as exits from './exit-codes.js';
import * as client from './peer-client.js';
import * as peerCommand from './peer-command.js';
import * as options from './options.js';

export class StatusCommand extends peerCommand.PeerCommand {
	static override paths = [['ctl', 'status']];
	static override usage = options.buildUsage({
		category: 'Operation',
		description: 'show the status of a peer',
	});

	protected async runCommand(): Promise<exits.ExitCode> {
		const status = await this.fetchJson('/status');
		if (this.json) {
			this.printJson(status);
		} else {
			this.print(JSON.stringify(status, undefined, 2));
		}

		return exits.exitCodes.done;
	}
}

export class MetricsCommand extends peerCommand.PeerCommand {
	static override paths = [['ctl', 'metrics']];
	static override usage = options.buildUsage({
		category: 'Operation',
		description: 'show the metrics of a peer',
	});

	protected async runCommand(): Promise<exits.ExitCode> {
		if (this.json) {
			this.printJson(await this.fetchJson('/metrics.json'));
		} else {
			const text = await this.fetchText('/metrics');
			this.print(text.trimEnd());
		}

		return exits.exitCodes.done;
	}
}

export class DrainCommand extends peerCommand.PeerCommand {
	static override paths = [['ctl', 'drain']];
	static override usage = options.buildUsage({
		category: 'Operation',
		description: 'begin the graceful shutdown of one peer',
	});

	protected async runCommand(): Promise<exits.ExitCode> {
		const peers = this.readPeers();
		if (peers.length !== 1) {
			throw new exits.CommandError(
				exits.exitCodes.usage,
				'--peer: drain takes exactly one peer',
			);
		}

		const [peer] = peers;
		const result = await client.sendRequest({
			peer,
			method: 'POST',
			path: '/drain',
			timeoutMs: this.readTimeout(),
		});
		if (result.type === 'lost') {
			throw new exits.CommandError(
				result.mayHaveArrived
					? exits.exitCodes.unknown
					: exits.exitCodes.failed,
				`${peer}: ${result.message}`,
			);
		}

		if (result.status !== 202) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				`${peer}: ${client.formatPeerError(result.status, result.text)}`,
			);
		}

		if (this.json) {
			this.printJson({peer, draining: true});
		} else {
			this.print(`${peer} is draining.`);
		}

		return exits.exitCodes.done;
	}
}
