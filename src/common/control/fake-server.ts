/**
 * A database server for tests: a log of records, asynchronous replication, and the functions that
 * control calls. It follows docs/design.md, "Servers: SQL functions".
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as control from './types.js';

/** A record of a server's log. The first record of a term has no write. */
export type LogRecord = {
	readonly term: number;
	readonly write: number;
};

const startOfTerm = -1;

/** One server of a group. */
export class FakeServer {
	readonly server: ids.UpstreamId;
	readonly dataCentre: ids.DataCentre;
	role: types.UpstreamRole;
	records: LogRecord[] = [{term: 1, write: startOfTerm}];
	fence = 0;
	/** The server it replicates from. */
	upstream: ids.UpstreamId | undefined;
	isRunning = true;
	isDeparting = false;
	/** Start of the process, ms since the Unix epoch. */
	startedAt = 1;
	/** A replica that receives nothing at the moment. */
	isReplicationPaused = false;
	/** Replicas that replicated lately and their offsets, on a primary. */
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

	/** Adds a write and returns its offset. */
	write(write: number): number {
		this.records.push({term: this.term, write});
		return this.records.length;
	}

	/** Copies at most `limit` records from the primary, after dropping a divergent tail. */
	replicateFrom(primary: FakeServer, limit: number): void {
		if (
			this.isReplicationPaused ||
			primary.role !== 'primary' ||
			primary.term < this.fence
		) {
			return;
		}

		let common = 0;
		while (
			common < this.records.length &&
			this.records[common]?.term === primary.records[common]?.term &&
			this.records[common]?.write === primary.records[common]?.write
		) {
			common++;
		}

		this.records = [
			...this.records.slice(0, common),
			...primary.records.slice(common, common + limit),
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

	/** Runs a function of the control interface. */
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
			this.records.push({term: request.term, write: startOfTerm});
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
