/**
 * A caller adapter with one connected caller and without a reducer, for tests.
 */
import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as serializer from 'pg-protocol/dist/serializer';
import type {Test} from 'tap';
import * as directDriver from '../../bench/direct-driver.js';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import * as callerAdapter from './caller-adapter.js';
import type * as types from './types.js';

const {serialize} = serializer;
const host = '127.0.0.1';
/** Time after which a wait fails. */
const waitLimitMs = 5000;

type Event = Parameters<types.CallerOptions['dispatch']>[0];
export type Arrived = Extract<proxy.ProxyEvent, {type: 'requestArrived'}>;

export type Setup = {
	readonly adapter: callerAdapter.CallerAdapter;
	readonly events: Event[];
	readonly drained: ids.AttemptId[];
	readonly socket: net.Socket;
	/** Everything that the caller received. */
	readText(): string;
	wait(check: () => boolean): Promise<void>;
	waitRequest(count: number): Promise<Arrived>;
};

export async function start(
	t: Test,
	limits: Partial<types.CallerLimits> = {},
	options: Partial<types.CallerOptions> = {},
): Promise<Setup> {
	const events: Event[] = [];
	const drained: ids.AttemptId[] = [];
	const adapter = callerAdapter.createCallerAdapter({
		dispatch(event) {
			events.push(event);
		},
		clock: directDriver.monotonicClock,
		logger: {write: () => undefined},
		instanceId: 'p1',
		limits,
		...options,
		handleDrain(attempt) {
			drained.push(attempt);
		},
	});
	const port = await adapter.listen(host, 0);
	const socket = net.connect(port, host);
	const received: Buffer[] = [];
	socket.on('error', () => undefined);
	socket.on('data', (chunk: Buffer) => {
		received.push(chunk);
	});
	socket.write(serialize.startup({user: 'sanna', database: 'ledger'}));
	t.teardown(async () => {
		socket.destroy();
		await adapter.dispose();
	});
	const wait = async (check: () => boolean): Promise<void> => {
		const startedAt = directDriver.monotonicClock.now();
		while (!check()) {
			if (directDriver.monotonicClock.now() - startedAt > waitLimitMs) {
				throw new Error(`timed out after: ${setup.readText().slice(-200)}`);
			}

			await new Promise((resolve) => {
				setTimeout(resolve, 1);
			});
		}
	};

	const setup: Setup = {
		adapter,
		events,
		drained,
		socket,
		readText: () => Buffer.concat(received).toString('latin1'),
		wait,
		async waitRequest(count) {
			const list = () =>
				events.filter((event) => event.type === 'requestArrived');
			await wait(() => list().length >= count);
			return list()[count - 1];
		},
	};
	await wait(() => setup.readText().endsWith('Z\0\0\0\u0005I'));
	received.length = 0;
	return setup;
}

export function startAttempt(
	setup: Setup,
	request: Arrived,
	attempt: number,
): void {
	setup.adapter.handle({
		type: 'startAttempt',
		session: request.session,
		request: request.request,
		attempt: attempt as ids.AttemptId,
	});
}

export function finish(
	setup: Setup,
	request: Arrived,
	attempt: number,
	tail: string,
): void {
	setup.adapter.handle({
		type: 'finishRequest',
		session: request.session,
		request: request.request,
		attempt: attempt as ids.AttemptId,
		tail: Buffer.concat([
			messages.buildCommandComplete(tail),
			messages.getReadyForQuery('idle'),
		]),
	});
}
