/**
 * Records the answers that callers of a scenario received, and checks the guarantees against them.
 * Every write has a unique value, so the logs of the servers show which writes ran and how often.
 */
import * as positions from '../../common/position.js';
import type * as fleetTypes from './fleet-types.js';
import type * as fakeServer from './fake-server.js';

export type WriteOutcome = 'acknowledged' | 'notRun' | 'unknown';

export type WriteRecord = {
	readonly user: string;
	readonly key: string;
	readonly value: string;
	readonly sentAt: number;
	/** The same for all writes of one transaction; undefined outside a transaction. */
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
	 * Counts read-your-writes violations: reads that returned data older than the user's own
	 * acknowledged write. Values are ordered by the position at which a primary committed them, even
	 * if a promotion dropped the commit: a read on the primary may return a newer commit that is not
	 * confirmed yet and that a promotion drops later. Such a read is no violation.
	 */
	countReadYourWritesViolations(
		servers: Iterable<fakeServer.FakeServer>,
	): number {
		const recordByValue = new Map<string, fakeServer.LogRecord>();
		for (const server of servers) {
			for (const record of server.committedRecords) {
				recordByValue.set(record.value, record);
			}
		}

		return this.reads.filter(({acknowledgedValue, returnedValue}) => {
			const acknowledgedRecord =
				acknowledgedValue === undefined
					? undefined
					: recordByValue.get(acknowledgedValue);
			const returnedRecord =
				returnedValue === undefined
					? undefined
					: recordByValue.get(returnedValue);
			return (
				acknowledgedRecord !== undefined &&
				(returnedRecord === undefined ||
					positions.comparePositions(returnedRecord, acknowledgedRecord) < 0)
			);
		}).length;
	}

	/** Counts reads that returned the value of another key, so the answer to another request. */
	countForeignReads(): number {
		const keyByValue = new Map(
			this.writes.map(({key, value}) => [value, key] as const),
		);
		return this.reads.filter(({key, returnedValue}) => {
			const writtenKey =
				returnedValue === undefined ? undefined : keyByValue.get(returnedValue);
			return writtenKey !== undefined && writtenKey !== key;
		}).length;
	}

	/**
	 * Counts acknowledged writes that the current primary does not have, or that a server did not have
	 * when it was promoted.
	 */
	countLostWrites(
		primary: fakeServer.FakeServer,
		promotions: readonly fleetTypes.PromotionRecord[],
	): number {
		const values = new Set(primary.log.map(({value}) => value));
		return this.writes.filter(
			({outcome, value, answeredAt}) =>
				outcome === 'acknowledged' &&
				(!values.has(value) ||
					promotions.some(
						(promotion) =>
							answeredAt !== undefined &&
							answeredAt < promotion.at &&
							!promotion.values.has(value),
					)),
		).length;
	}

	/** Counts writes that are in the log of a server more than once. */
	countDuplicatedWrites(servers: Iterable<fakeServer.FakeServer>): number {
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

	/** Counts writes that were refused as not run although a server committed them. */
	countFalseRefusals(servers: Iterable<fakeServer.FakeServer>): number {
		const committedValues = new Set<string>();
		for (const server of servers) {
			for (const value of server.committedValues) {
				committedValues.add(value);
			}
		}

		return this.writes.filter(
			({outcome, value}) => outcome === 'notRun' && committedValues.has(value),
		).length;
	}

	/** Counts writes that were acknowledged after a promotion to a term higher than theirs. */
	countLateAcknowledgements(
		promotions: ReadonlyArray<{readonly at: number; readonly term: number}>,
		primary: fakeServer.FakeServer,
		servers: Iterable<fakeServer.FakeServer>,
	): number {
		const termByValue = new Map<string, number>();
		for (const server of [...servers, primary]) {
			for (const {value, term} of server.committedRecords) {
				termByValue.set(value, term);
			}
		}

		return this.writes.filter((write) => {
			const term = write.term ?? termByValue.get(write.value);
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

	/**
	 * Counts acknowledged writes that a server committed after the promotion of another one to a higher term.
	 * Unlike a late acknowledgement, no delay of a link excuses them.
	 */
	countCommitsAfterPromotion(
		promotions: readonly fleetTypes.PromotionRecord[],
		servers: Iterable<fakeServer.FakeServer>,
	): number {
		const acknowledged = new Set(
			this.writes
				.filter(({outcome}) => outcome === 'acknowledged')
				.map(({value}) => value),
		);
		return [...servers]
			.flatMap(({committedRecords, committedAt}) =>
				committedRecords.map(({term, value}) => ({
					term,
					value,
					at: committedAt.get(value) ?? 0,
				})),
			)
			.filter(
				({term, value, at}) =>
					acknowledged.has(value) &&
					promotions.some(
						(promotion) => promotion.term > term && promotion.at < at,
					),
			).length;
	}

	/** Counts transactions that are in the log of a server only in part or not contiguously. */
	countMixedTransactions(servers: Iterable<fakeServer.FakeServer>): number {
		const transactions = new Map<string, string[]>();
		for (const {transaction, value, outcome} of this.writes) {
			if (transaction !== undefined && outcome !== 'notRun') {
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

	/** Returns the longest time without an acknowledgement between `since` and `now`, in ms. */
	computeWriteGap(since: number, now: number): number {
		const acknowledgementTimes = this.writes
			.filter(
				({outcome, answeredAt}) =>
					outcome === 'acknowledged' && answeredAt! >= since,
			)
			.map(({answeredAt}) => answeredAt!)
			.sort((left, right) => left - right);
		let gap = 0;
		let previousAt = since;
		for (const at of [...acknowledgementTimes, now]) {
			gap = Math.max(gap, at - previousAt);
			previousAt = at;
		}

		return gap;
	}
}
