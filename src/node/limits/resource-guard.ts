/**
 * The limits of one process: the memory budget of its connections, and the reports of limits that
 * act. The listeners of the process share one guard.
 */
import * as v8 from 'node:v8';
import * as memoryBudget from '../../common/policy/memory-budget.js';
import type * as node from '../types.js';
import type * as resourceLimits from './types.js';

/** At most one line per limit and listener is logged in this time. */
const logIntervalMs = 1000;

/** The owner of an account of the budget. */
export type Client = {
	readonly listener: string;
	/** Closes the connection at once; the outcome of a running request is unknown to its caller. */
	shed(): void;
};

export type Account = memoryBudget.BudgetAccount<Client>;

export type GuardOptions = {
	readonly memoryBytes: number;
	readonly clock: Pick<node.Clock, 'now'>;
	readonly logger: node.Logger;
	/** Counts a limit that acted, for the metrics. */
	readonly countLimit?: (limit: resourceLimits.LimitReport['limit']) => void;
};

/** The memory that the heap of the process may take, when the settings state none. */
export function readHeapLimit(): number {
	return v8.getHeapStatistics().heap_size_limit;
}

/** Creates a guard for a listener that shares its budget with no other. */
export function createDefaultGuard(
	clock: GuardOptions['clock'],
	logger: node.Logger,
): ResourceGuard {
	return new ResourceGuard({memoryBytes: readHeapLimit(), clock, logger});
}

export class ResourceGuard {
	readonly #budget: memoryBudget.MemoryBudget<Client>;
	readonly #loggedAt = new Map<string, number>();
	/** Reports since the last line of the same limit and listener. */
	readonly #unlogged = new Map<string, number>();
	#isShedding = false;

	constructor(private readonly options: GuardOptions) {
		this.#budget = new memoryBudget.MemoryBudget(
			memoryBudget.buildMemoryLimits(options.memoryBytes),
		);
	}

	get limits(): memoryBudget.MemoryLimits {
		return this.#budget.limits;
	}

	get usedBytes(): number {
		return this.#budget.usedBytes;
	}

	openAccount(client: Client): Account {
		return this.#budget.open(client);
	}

	/** Whether work that needs so many more bytes may begin. */
	hasRoom(bytes: number): boolean {
		return this.#budget.hasRoom(bytes);
	}

	/** Sheds clients while the budget is exceeded; called after bytes were charged. */
	enforce(): void {
		if (!this.#budget.isExceeded || this.#isShedding) {
			return;
		}

		this.#isShedding = true;
		try {
			for (const client of this.#budget.chooseVictims()) {
				this.report({limit: 'MemoryBudget', listener: client.listener});
				client.shed();
			}
		} finally {
			this.#isShedding = false;
		}
	}

	/** Counts a limit that acted, and logs it at a bounded rate. */
	readonly report: resourceLimits.ReportLimit = ({limit, listener}) => {
		this.options.countLimit?.(limit);
		const key = `${limit} ${listener}`;
		const count = (this.#unlogged.get(key) ?? 0) + 1;
		const now = this.options.clock.now();
		const loggedAt = this.#loggedAt.get(key) ?? Number.NEGATIVE_INFINITY;
		if (now - loggedAt < logIntervalMs) {
			this.#unlogged.set(key, count);
			return;
		}

		this.#loggedAt.set(key, now);
		this.#unlogged.set(key, 0);
		this.options.logger.write({
			level: 'warn',
			part: 'limits',
			message: 'A limit acted',
			fields: {limit, listener, count, usedBytes: this.usedBytes},
		});
	};

	/** The connections that use most, for the status of the process. */
	readStatus(): unknown {
		return {
			...this.limits,
			usedBytes: this.usedBytes,
			largest: this.#budget.listLargest(5).map(({owner, bytes}) => ({
				listener: owner.listener,
				bytes,
			})),
		};
	}
}
