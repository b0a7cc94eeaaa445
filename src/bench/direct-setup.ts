/**
 * Starts a stand-in with the caller and upstream adapters in front of it, for tests and
 * measurements.
 */
import pg from 'pg';
import * as standin from '../standin/index.js';
import * as directDriver from './direct-driver.js';

export type DirectSetup = {
	readonly server: standin.StandInServer;
	readonly driver: directDriver.DirectDriver;
	/** Port of the caller adapter. */
	readonly port: number;
	/** Opens a `pg` client through the adapters. */
	connect(config?: pg.ClientConfig): Promise<pg.Client>;
	stop(): Promise<void>;
};

/**
 * Starts the server and the adapters. `address` replaces the server's own address, so that a test can
 * put a relay in between.
 */
export async function startSetup(
	options: Partial<directDriver.DirectDriverOptions> & {
		readonly standIn?: Partial<standin.StandInOptions>;
	} = {},
): Promise<DirectSetup> {
	const server = new standin.StandInServer({
		group: 'ledger',
		server: 's1',
		dataCentre: 'khomas-a',
		slots: 16,
		connectionLimit: 64,
		...options.standIn,
		faults: {connectTimeMs: 0, ...options.standIn?.faults},
	});
	await server.start();
	const driver = new directDriver.DirectDriver({
		connections: 2,
		...options,
		address: options.address ?? server.address,
	});
	const port = await driver.start();
	const clients: pg.Client[] = [];
	return {
		server,
		driver,
		port,
		async connect(config = {}) {
			const client = new pg.Client({
				host: '127.0.0.1',
				port,
				user: 'sanna',
				database: 'ledger',
				...config,
			});
			client.on('error', () => undefined);
			await client.connect();
			clients.push(client);
			return client;
		},
		async stop() {
			for (const client of clients) {
				client.connection.stream.destroy();
			}

			await driver.dispose();
			await server.stop();
		},
	};
}
