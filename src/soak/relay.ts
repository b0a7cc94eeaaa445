/**
 * A TCP relay on loopback that delays, cuts, silences or resets the connections through it, so that
 * faults of the network come from outside of the processes.
 */
import type {Buffer} from 'node:buffer';
import * as net from 'node:net';
import {assertNever} from '../common/assert-never.js';
import type * as types from './types.js';

type Pair = {
	readonly client: net.Socket;
	readonly target: net.Socket;
	isSilent: boolean;
};

type DelayedAction = {
	/** Monotonic, in ms. */
	readonly dueAt: number;
	readonly action: () => void;
};

export class Relay {
	/** Opens a relay to a port on loopback. */
	static async open(targetPort: number): Promise<Relay> {
		const relay = new Relay(targetPort);
		await new Promise<void>((resolve, reject) => {
			relay.#server.once('error', reject);
			relay.#server.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	/** The current target; it changes when a process starts again on another port. */
	targetPort: number;
	#mode: types.RelayMode = {type: 'pass'};
	readonly #pairs = new Set<Pair>();
	readonly #delayed: DelayedAction[] = [];
	readonly #server: net.Server;

	private constructor(targetPort: number) {
		this.targetPort = targetPort;
		this.#server = net.createServer((client) => {
			this.#accept(client);
		});
	}

	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	setMode(mode: types.RelayMode): void {
		switch (mode.type) {
			case 'pass':
			case 'delay':
			case 'cut': {
				this.#mode = mode;
				return;
			}

			case 'silence': {
				for (const pair of this.#pairs) {
					pair.isSilent = true;
				}

				return;
			}

			case 'reset': {
				this.#closeAll();
				return;
			}

			default: {
				assertNever(mode);
			}
		}
	}

	dispose(): void {
		this.#server.close();
		this.#closeAll();
	}

	#closeAll(): void {
		for (const {client, target} of this.#pairs) {
			client.resetAndDestroy();
			target.resetAndDestroy();
		}
	}

	#accept(client: net.Socket): void {
		const target = net.connect(this.targetPort, '127.0.0.1');
		const pair: Pair = {client, target, isSilent: false};
		this.#pairs.add(pair);
		this.#forward(pair, client, target, 'toTarget');
		this.#forward(pair, target, client, 'toClient');
	}

	#forward(
		pair: Pair,
		from: net.Socket,
		to: net.Socket,
		direction: 'toTarget' | 'toClient',
	): void {
		from.setNoDelay(true);
		from.on('data', (chunk) => {
			this.#pass(pair, to, chunk, direction);
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			this.#pairs.delete(pair);
			// The end of a silent connection does not arrive either.
			if (!pair.isSilent) {
				this.#delay(() => {
					to.end();
				});
			}
		});
	}

	#pass(
		pair: Pair,
		to: net.Socket,
		chunk: Buffer,
		direction: 'toTarget' | 'toClient',
	): void {
		const mode = this.#mode;
		const isCut = mode.type === 'cut' && mode.direction === direction;
		if (pair.isSilent || isCut) {
			// Bytes that were dropped must not be followed by later ones.
			pair.isSilent = true;
			return;
		}

		this.#delay(() => {
			to.write(chunk);
		});
	}

	/** Runs the action after the current delay, and after all earlier actions. */
	#delay(action: () => void): void {
		const mode = this.#mode;
		const dueAt =
			performance.now() + (mode.type === 'delay' ? mode.delayMs : 0);
		if (mode.type !== 'delay' && this.#delayed.length === 0) {
			action();
			return;
		}

		this.#delayed.push({dueAt, action});
		if (this.#delayed.length === 1) {
			this.#scheduleDelayed();
		}
	}

	#scheduleDelayed(): void {
		const [next] = this.#delayed;
		setTimeout(
			() => {
				next.action();
				this.#delayed.shift();
				if (this.#delayed.length > 0) {
					this.#scheduleDelayed();
				}
			},
			Math.max(0, next.dueAt - performance.now()),
		);
	}
}
