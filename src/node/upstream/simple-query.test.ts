import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import pg from 'pg';
import tap from 'tap';
import * as directDriver from '../../bench/direct-driver.js';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';

/** Answers every Query with one text row that repeats the statement. */
async function startEchoServer(): Promise<net.Server> {
	const server = net.createServer((socket) => {
		const reader = new frameReader.FrameReader(1_000_000);
		let isStarted = false;
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Buffer) => {
			reader.push(chunk);
			if (!isStarted) {
				reader.take(reader.peek(4)!.readUInt32BE(0));
				isStarted = true;
				socket.write(
					Buffer.concat([
						messages.buildMessage(messages.codes.authentication, [
							new Uint8Array(4),
						]),
						messages.getReadyForQuery('idle'),
					]),
				);
			}

			for (let frame = reader.read(); frame; frame = reader.read()) {
				const text = messages.readString(frame as Buffer, 5) ?? '';
				socket.write(
					Buffer.concat([
						messages.buildTextColumn('echo'),
						messages.buildTextRow(text),
						messages.buildCommandComplete('SELECT 1'),
						messages.getReadyForQuery('idle'),
					]),
				);
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

// Guards against adapters that do not carry a simple query from end to end.
tap.test('simple query', async (t) => {
	const server = await startEchoServer();
	const {port} = server.address() as net.AddressInfo;
	const driver = new directDriver.DirectDriver({
		address: `127.0.0.1:${port}`,
		connections: 2,
	});
	const client = new pg.Client({
		host: '127.0.0.1',
		port: await driver.start(),
		user: 'sanna',
		database: 'ledger',
	});
	await client.connect();
	const result = await client.query('select 1');
	t.strictSame(result.rows, [{echo: 'select 1'}]);
	await client.query("SET hemlockarch.rank = 'urgent'");
	const shown = await client.query('SHOW hemlockarch.rank');
	t.strictSame(shown.rows, [{'hemlockarch.rank': 'urgent'}]);
	await client.end();
	await driver.dispose();
	server.close();
});
