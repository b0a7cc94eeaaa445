/**
 * What callers of a scenario were told, and the checks of the guarantees over it. Every write has a
 * unique value, so the logs of the servers tell which writes ran and how often.
 */
import * as positions from '../../common/position.js';
import type * as fakeServer from './fake-server.js';

export type WriteOutcome = 'acknowledged' | 'notRun' | 'unknown';

export type WriteRecord = {
	readonly user: string;
	readonly key: string;
	readonly value: string;
	readonly sentAt: number;
	/** Writes of one transaction share it. */
	readonly transaction: string | undefined;
	outcome: WriteOutcome | undefined;
	answeredAt: number | undefined;
	/** Term of the token that came with the acknowledgement. */
	term: number | undefined;
};

export type ReadRecord = {
	readonly user: string;
	readonly key: string;
	/** The user's newest acknowledged value of the key when the read was sent. */
	readonly acknowledgedValue: string | undefined;
	readonly returnedValue: string | undefined;
};

export class History {
	readonly writes: WriteRecord[] = [];
	readonly reads: ReadRecord[] = [];

	countWrites(outcome: WriteOutcome | undefined): number {
		return this.writes.filter((write) => write.outcome === outcome).length;
	}

	/**
	 * Reads that returned data older than the user's own acknowledged write. Values are ordered by the
	 * position at which they were committed first: a read on the primary may return a newer commit
	 * that is not confirmed yet and that a promotion drops later, which is not stale.
	 */
	countStaleReads(servers: Iterable<fakeServer.FakeServer>): number {
		const order = new Map<string, fakeServer.LogRecord>();
		for (const server of servers) {
			for (const record of server.committedRecords) {
				order.set(record.value, record);
			}
		}

		return this.reads.filter(
			({acknowledgedValue: own, returnedValue: found}) => {
				const wanted = own === undefined ? undefined : order.get(own);
				const seen = found === undefined ? undefined : order.get(found);
				return (
					wanted !== undefined &&
					(seen === undefined || positions.comparePositions(seen, wanted) < 0)
				);
			},
		).length;
	}

	/** Acknowledged writes that the present primary does not have. */
	countLost(primary: fakeServer.FakeServer): number {
		const values = new Set(primary.log.map(({value}) => value));
		return this.writes.filter(
			({outcome, value}) => outcome === 'acknowledged' && !values.has(value),
		).length;
	}

	/** Writes that are in the log of a server more than once. */
	countDuplicates(servers: Iterable<fakeServer.FakeServer>): number {
		let count = 0;
		for (const server of servers) {
			const seen = new Map<string, number>();
			for (const {value} of server.log) {
				seen.set(value, (seen.get(value) ?? 0) + 1);
			}

			count += this.writes.filter(
				({value}) => (seen.get(value) ?? 0) > 1,
			).length;
		}

		return count;
	}

	/** Writes that were refused as not run although a server executed them. */
	countFalseRefusals(servers: Iterable<fakeServer.FakeServer>): number {
		const ran = new Set<string>();
		for (const server of servers) {
			for (const value of server.committedValues) {
				ran.add(value);
			}
		}

		return this.writes.filter(
			({outcome, value}) => outcome === 'notRun' && ran.has(value),
		).length;
	}

	/** Acknowledgements that left after a server was promoted to a higher term. */
	countLateAcknowledgements(
		promotions: ReadonlyArray<{readonly at: number; readonly term: number}>,
		primary: fakeServer.FakeServer,
		servers: Iterable<fakeServer.FakeServer>,
	): number {
		const terms = new Map<string, number>();
		for (const server of [...servers, primary]) {
			for (const {value, term} of server.committedRecords) {
				terms.set(value, term);
			}
		}

		return this.writes.filter((write) => {
			const term = write.term ?? terms.get(write.value);
			return (
				write.outcome === 'acknowledged' &&
				term !== undefined &&
				promotions.some(
					(promotion) =>
						promotion.term > term && promotion.at < write.answeredAt!,
				)
			);
		}).length;
	}

	/** Transactions of which a server has only a part, or whose writes do not stand together. */
	countMixedTransactions(servers: Iterable<fakeServer.FakeServer>): number {
		const transactions = new Map<string, string[]>();
		for (const {transaction, value} of this.writes) {
			if (transaction !== undefined) {
				const values = transactions.get(transaction) ?? [];
				values.push(value);
				transactions.set(transaction, values);
			}
		}

		let count = 0;
		for (const server of servers) {
			const log = server.log.map(({value}) => value);
			for (const values of transactions.values()) {
				const first = log.indexOf(values[0]);
				const isWhole =
					first !== -1 &&
					values.every((value, index) => log[first + index] === value);
				const isAbsent = values.every((value) => !log.includes(value));
				if (!isWhole && !isAbsent) {
					count++;
				}
			}
		}

		return count;
	}

	/** Longest time between two acknowledgements, or from the last one to `now`, in ms. */
	computeWriteGap(since: number, now: number): number {
		const times = this.writes
			.filter(
				({outcome, answeredAt}) =>
					outcome === 'acknowledged' && answeredAt! >= since,
			)
			.map(({answeredAt}) => answeredAt!)
			.sort((left, right) => left - right);
		let gap = 0;
		let last = since;
		for (const time of [...times, now]) {
			gap = Math.max(gap, time - last);
			last = time;
		}

		return gap;
	}
}
