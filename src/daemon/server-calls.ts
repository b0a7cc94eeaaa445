/**
 * Calls functions of database servers for the control leader, with the `pg` client. On each server,
 * proxies leave two connections to control. This client opens at most one of them, on demand, and
 * closes it when it is idle or may be broken.
 */
import * as pg from 'pg';
import * as zod from 'zod';
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import * as calls from '../common/control/calls.js';
import type * as control from '../common/control/types.js';
import type * as daemon from './control-types.js';

/** An unreachable server must not delay a failover. */
const connectTimeoutMs = 300;
const statementTimeoutMs = 500;
const idleTimeoutMs = 30_000;
/** Must not have the form `hemlockarch/<epoch>`: an owner ends such sessions by `end_other_sessions`. */
const applicationName = 'hemlockarch-control';

const replicasSchema = zod.array(
	zod.object({server: zod.string(), position: zod.coerce.number()}),
);

const statusSchema = zod.object({
	server: zod.string(),
	role: zod.enum(['primary', 'replica']),
	term: zod.coerce.number(),
	position: zod.coerce.number(),
	applied: zod.coerce.number(),
	replicas: zod.preprocess(
		(value) =>
			typeof value === 'string' ? (JSON.parse(value) as unknown) : value,
		replicasSchema.nullish(),
	),
});

/** Creates a client that logs in to every server with the same credentials. */
export function createServerClient(login: daemon.ServerLogin): PgServerClient {
	return new PgServerClient(login);
}

type Connection = {
	readonly address: string;
	readonly client: pg.Client;
	readonly ready: Promise<unknown>;
	idleTimer: NodeJS.Timeout | undefined;
};

export class PgServerClient implements daemon.ServerClient {
	readonly #login: daemon.ServerLogin;
	readonly #connections = new Map<ids.UpstreamId, Connection>();

	constructor(login: daemon.ServerLogin) {
		this.#login = login;
	}

	async call(
		server: ids.UpstreamId,
		address: string,
		request: control.ServerRequest,
		{isLeading}: daemon.ServerCallContext,
	): Promise<control.ServerAnswer> {
		const connection = this.#getConnection(server, address);
		try {
			await connection.ready;
			if (request.type !== 'status' && !isLeading()) {
				return calls.leadershipEnded;
			}

			const result = await connection.client.query<Record<string, unknown>>(
				buildStatement(request),
			);
			const [row] = result.rows;
			return {
				type: 'answered',
				...(row === undefined ? {} : {status: parseStatus(row)}),
			};
		} catch (error) {
			this.#handleError(server, connection, error);
			return buildFailure(error);
		} finally {
			this.#restartIdleTimer(server, connection);
		}
	}

	async dispose(): Promise<void> {
		for (const [server, connection] of this.#connections) {
			this.#close(server, connection);
		}
	}

	#getConnection(server: ids.UpstreamId, address: string): Connection {
		const existing = this.#connections.get(server);
		if (existing?.address === address) {
			return existing;
		}

		if (existing) {
			this.#close(server, existing);
		}

		const connection = this.#openConnection(server, address);
		this.#connections.set(server, connection);
		return connection;
	}

	#openConnection(server: ids.UpstreamId, address: string): Connection {
		const separator = address.lastIndexOf(':');
		const client = new pg.Client({
			...this.#login,
			host: address.slice(0, separator),
			port: Number(address.slice(separator + 1)),
			application_name: applicationName,
			connectionTimeoutMillis: connectTimeoutMs,
			query_timeout: statementTimeoutMs,
			statement_timeout: statementTimeoutMs,
		});
		const connection: Connection = {
			address,
			client,
			ready: client.connect(),
			idleTimer: undefined,
		};
		client.on('error', () => {
			this.#close(server, connection);
		});
		return connection;
	}

	/** Closes the connection, unless the server itself reported an error that is not fatal. */
	#handleError(
		server: ids.UpstreamId,
		connection: Connection,
		error: unknown,
	): void {
		if (!(error instanceof pg.DatabaseError) || error.severity === 'FATAL') {
			this.#close(server, connection);
		}
	}

	#restartIdleTimer(server: ids.UpstreamId, connection: Connection): void {
		clearTimeout(connection.idleTimer);
		if (this.#connections.get(server) === connection) {
			connection.idleTimer = setTimeout(() => {
				this.#close(server, connection);
			}, idleTimeoutMs);
			connection.idleTimer.unref();
		}
	}

	/** Closes a connection without waiting for the server, which may not respond. */
	#close(server: ids.UpstreamId, connection: Connection): void {
		clearTimeout(connection.idleTimer);
		if (this.#connections.get(server) === connection) {
			this.#connections.delete(server);
		}

		const {client} = connection as {
			readonly client: pg.Client & {
				readonly connection?: {readonly stream?: {destroy(): void}};
			};
		};
		client.end().catch(() => undefined);
		client.connection?.stream?.destroy();
	}
}

function buildStatement(request: control.ServerRequest): string {
	switch (request.type) {
		case 'status': {
			return 'SELECT * FROM hemlockarch.status()';
		}

		case 'fence':
		case 'promote': {
			return `SELECT * FROM hemlockarch.${request.type}(${request.term})`;
		}

		case 'follow': {
			const server = pg.escapeLiteral(request.server);
			const address = pg.escapeLiteral(request.address);
			return `SELECT * FROM hemlockarch.follow(${request.term}, ${server}, ${address})`;
		}
	}
}

function parseStatus(
	row: Record<string, unknown>,
): types.UpstreamStatus | undefined {
	const parsed = statusSchema.safeParse(row);
	if (!parsed.success) {
		return undefined;
	}

	return {
		...parsed.data,
		server: parsed.data.server as ids.UpstreamId,
		replicas: (parsed.data.replicas ?? []).map(({server, position}) => ({
			server: server as ids.UpstreamId,
			position,
		})),
	};
}

function buildFailure(error: unknown): control.ServerAnswer {
	const message = error instanceof Error ? error.message : String(error);
	return error instanceof pg.DatabaseError && error.code !== undefined
		? {type: 'failed', sqlState: error.code, message}
		: {type: 'failed', message};
}
