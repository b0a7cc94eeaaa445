/**
 * Test harness that drives an upstream adapter one event at a time.
 */
import {Buffer} from 'node:buffer';
import * as serializer from 'pg-protocol/dist/serializer';
import type {Test} from 'tap';
import type * as ids from '../common/ids.js';
import type * as proxy from '../common/proxy/types.js';
import * as upstreamAdapter from '../node/upstream/upstream-adapter.js';
import type * as types from '../node/upstream/types.js';
import * as directDriver from './direct-driver.js';

const epoch = {consensusTerm: 2, counter: 5};
const server = 's1' as ids.UpstreamId;

/** An upstream adapter whose events can be awaited one by one. */
export class UpstreamHarness {
	readonly adapter: upstreamAdapter.FlowControlledUpstreamAdapter;
	readonly relayedChunks: Buffer[] = [];
	/** What the sinks return; false signals backpressure and asks the adapter to pause. */
	isSinkWritable = true;
	readonly #events: types.UpstreamEvent[] = [];
	#notify: (() => void) | undefined;
	#lastConnection = 0;
	#lastAttempt = 0;

	constructor(
		t: Test,
		readonly address: string,
		limits: Partial<types.UpstreamLimits> = {},
	) {
		this.adapter = upstreamAdapter.createUpstreamAdapter({
			clock: directDriver.monotonicClock,
			logger: {write: () => undefined},
			user: 'hemlockarch',
			database: 'ledger',
			// Long timeouts, so that a busy test machine does not close connections.
			limits: {connectTimeoutMs: 60_000, pollTimeoutMs: 60_000, ...limits},
			dispatch: (event) => {
				this.#events.push(event);
				this.#notify?.();
			},
			relayToSession: (_attempt, data) => {
				this.relayedChunks.push(Buffer.from(data));
				return this.isSinkWritable;
			},
			relayToPeer: (_peer, _attempt, data) => {
				this.relayedChunks.push(Buffer.from(data));
				return this.isSinkWritable;
			},
		});
		t.teardown(async () => this.adapter.dispose());
	}

	async takeEvent(): Promise<types.UpstreamEvent> {
		while (this.#events.length === 0) {
			await new Promise<void>((resolve) => {
				this.#notify = resolve;
			});
		}

		return this.#events.shift()!;
	}

	async openConnection(): Promise<ids.ConnectionId> {
		const connection = this.startOpening();
		const event = await this.takeEvent();
		if (event.type !== 'connectionOpened') {
			throw new Error(`expected connectionOpened but got ${event.type}`);
		}

		return connection;
	}

	startOpening(): ids.ConnectionId {
		this.#lastConnection++;
		const connection = this.#lastConnection as ids.ConnectionId;
		this.adapter.handle({
			type: 'openConnection',
			connection,
			server,
			address: this.address,
			epoch,
		});
		return connection;
	}

	startExecution(
		connection: ids.ConnectionId,
		frames: Uint8Array,
		options: Partial<types.ExecuteEffect> = {},
	): ids.AttemptId {
		this.#lastAttempt++;
		const attempt = this.#lastAttempt as ids.AttemptId;
		this.adapter.handle({
			type: 'execute',
			connection,
			attempt,
			kind: 'write',
			payload: {frames},
			inTransaction: false,
			sink: {type: 'session', attempt},
			...options,
		});
		return attempt;
	}

	async execute(
		connection: ids.ConnectionId,
		frames: Uint8Array,
		options: Partial<types.ExecuteEffect> = {},
	): Promise<proxy.ExecutionOutcome> {
		this.startExecution(connection, frames, options);
		const event = await this.takeEvent();
		if (event.type !== 'executionFinished') {
			throw new Error(`expected executionFinished but got ${event.type}`);
		}

		return event.outcome;
	}

	async runQuery(
		connection: ids.ConnectionId,
		text: string,
		options: Partial<types.ExecuteEffect> = {},
	): Promise<string> {
		return formatOutcome(
			await this.execute(connection, serializer.serialize.query(text), options),
		);
	}
}

/**
 * Formats the type letters of the tail, the transaction status and the SQLSTATE of an answer, or the
 * outcome of an execution without an answer.
 */
export function formatOutcome(outcome: proxy.ExecutionOutcome): string {
	if (outcome.type === 'lost') {
		return `lost ${outcome.mayHaveRun ? 'unknown' : 'not run'}`;
	}

	if (outcome.type === 'keyUsed') {
		return 'keyUsed';
	}

	if (outcome.type === 'refused') {
		return `refused ${outcome.reason}`;
	}

	const tail = Buffer.from(outcome.tail);
	let letters = '';
	for (
		let offset = 0;
		offset < tail.length;
		offset += 1 + tail.readUInt32BE(offset + 1)
	) {
		letters += String.fromCodePoint(tail[offset]);
	}

	return [letters, outcome.transactionStatus, outcome.sqlState]
		.filter(Boolean)
		.join(' ');
}
