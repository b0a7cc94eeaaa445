/**
 * Simulates a database server for tests: a log of records, asynchronous replication, and the SQL
 * functions that control calls, as docs/design.md describes them under "Servers: SQL functions".
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as control from './types.js';

/** A record of a server's log. */
export type LogRecord = {
	readonly term: number;
	/** Number of the write; `termStartMarker` in the first record of a term. */
	readonly write: number;
};

const termStartMarker = -1;

/** One server of a group. */
export class FakeServer {
	readonly server: ids.UpstreamId;
	readonly dataCentre: ids.DataCentre;
	role: types.UpstreamRole;
	records: LogRecord[] = [{term: 1, write: termStartMarker}];
	fence = 0;
	/** The server it replicates from. */
	upstream: ids.UpstreamId | undefined;
	isRunning = true;
	isDeparting = false;
	/** Start time of the process, in ms since the Unix epoch. */
	startedAt = 1;
	/** While true, the server receives no records from its primary. */
	isReplicationPaused = false;
	/** On a primary: the offset of each replica that has replicated from it. */
	readonly replicas = new Map<ids.UpstreamId, number>();

	constructor(
		server: ids.UpstreamId,
		dataCentre: ids.DataCentre,
		primary: ids.UpstreamId | undefined,
	) {
		this.server = server;
		this.dataCentre = dataCentre;
		this.role = primary === undefined ? 'primary' : 'replica';
		this.upstream = primary;
	}

	/** Term of the newest record. */
	get term(): number {
		return this.records.at(-1)?.term ?? 0;
	}

	get isWritable(): boolean {
		return this.role === 'primary' && this.term >= this.fence;
	}

	/** Appends a write and returns its offset. */
	write(write: number): number {
		this.records.push({term: this.term, write});
		return this.records.length;
	}

	/** Truncates records that diverge from the primary, then copies at most `limit` records from it. */
	replicateFrom(primary: FakeServer, limit: number): void {
		if (
			this.isReplicationPaused ||
			primary.role !== 'primary' ||
			primary.term < this.fence
		) {
			return;
		}

		let commonCount = 0;
		while (
			commonCount < this.records.length &&
			this.records[commonCount]?.term === primary.records[commonCount]?.term &&
			this.records[commonCount]?.write === primary.records[commonCount]?.write
		) {
			commonCount++;
		}

		this.records = [
			...this.records.slice(0, commonCount),
			...primary.records.slice(commonCount, commonCount + limit),
		];
		primary.replicas.set(this.server, this.records.length);
	}

	readStatus(): types.UpstreamStatus {
		return {
			server: this.server,
			role: this.role,
			term: this.term,
			position: this.records.length,
			applied: this.records.length,
			replicas: [...this.replicas].map(([server, position]) => ({
				server,
				position,
			})),
		};
	}

	/** Runs one of the SQL functions that control calls. */
	run(request: control.ServerRequest): control.ServerAnswer {
		if (request.type === 'status') {
			return {type: 'answered', status: this.readStatus()};
		}

		const isPromoted =
			request.type === 'promote' &&
			this.role === 'primary' &&
			this.term === request.term;
		if (!isPromoted && request.term < Math.max(this.fence, this.term)) {
			return {type: 'failed', sqlState: 'HK101', message: 'higher term'};
		}

		return isPromoted ||
			(request.type === 'promote' && this.fence === request.term) ||
			request.type !== 'promote'
			? this.#apply(request, isPromoted)
			: {type: 'failed', sqlState: '55000', message: 'not fenced'};
	}

	#apply(
		request: Exclude<control.ServerRequest, {type: 'status'}>,
		isPromoted: boolean,
	): control.ServerAnswer {
		if (request.type === 'promote' && !isPromoted) {
			this.role = 'primary';
			this.upstream = undefined;
			this.records.push({term: request.term, write: termStartMarker});
		} else if (request.type === 'follow') {
			if (this.role === 'primary' && this.term === request.term) {
				return {type: 'failed', sqlState: '55000', message: 'is primary'};
			}

			this.role = 'replica';
			this.upstream = request.server;
			this.replicas.clear();
		}

		this.fence = Math.max(this.fence, request.term);
		return {type: 'answered', status: this.readStatus()};
	}
}
