/**
 * Base class of the commands that send HTTP requests to peers: their common options, and reading
 * from the first peer that responds.
 */
import * as addresses from './addresses.js';
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as client from './peer-client.js';
import * as options from './options.js';

const defaultPeer = '127.0.0.1:8432';

export abstract class PeerCommand extends base.BaseCommand {
	peer = options.buildList('--peer', {
		description: `ip:port of a peer's HTTP listener; may be repeated (default ${defaultPeer})`,
	});

	timeout = options.buildText('--timeout-ms', '5000', {
		description: 'timeout of one request, in ms (default 5000)',
	});

	json = options.buildFlag('--json', false, {
		description: 'write JSON',
	});

	protected readTimeout(): number {
		return base.readNumber('--timeout-ms', this.timeout, {
			min: 10,
			max: 60_000,
		});
	}

	protected readPeers(): string[] {
		return (this.peer ?? [defaultPeer]).map((text) =>
			addresses.checkAddress('--peer', text),
		);
	}

	/** Reads a path from the first peer with a successful response; throws `CommandError` without one. */
	protected async fetchText(path: string): Promise<string> {
		const timeoutMs = this.readTimeout();
		const failures: string[] = [];
		for (const peer of this.readPeers()) {
			const result = await client.sendRequest({
				peer,
				method: 'GET',
				path,
				timeoutMs,
			});
			if (result.type === 'answered' && result.status === 200) {
				return result.text;
			}

			const reason =
				result.type === 'lost'
					? result.message
					: client.formatPeerError(result.status, result.text);
			failures.push(`${peer}: ${reason}`);
		}

		throw new exits.CommandError(exits.exitCodes.failed, failures.join('; '));
	}

	protected async fetchJson(path: string): Promise<unknown> {
		const value = client.parseJson(await this.fetchText(path));
		if (value === undefined) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				'the response of the peer is not JSON',
			);
		}

		return value;
	}
}
