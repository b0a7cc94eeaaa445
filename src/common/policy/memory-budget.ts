/**
 * A budget of bytes that the buffers of one process share. Each connection has an account; a budget
 * that is exceeded names the connections to close, the largest outside a transaction first.
 */

/** What the bytes of an account hold. */
export type BudgetUse = 'input' | 'queued' | 'running' | 'output' | 'state';

export type MemoryLimits = {
	/** Bytes of all accounts together. */
	readonly totalBytes: number;
	/** Bytes of one account above which its owner stops reading. */
	readonly shareBytes: number;
};

/**
 * Share of the memory of the process for buffers. The rest is for the program itself, for copies that
 * encoders and decoders make, and for buffers that wait for the garbage collector.
 */
const buffersShare = 0.1;
/** Accounts that reach their share at the same time before the budget is exceeded. */
const sharesInBudget = 8;
/** A message of 1 MiB fits together with its copies. */
const minShareBytes = 4 * 1024 * 1024;
const maxShareBytes = 64 * 1024 * 1024;
/** Accounts are shed until the budget is below this share of its limit. */
const lowWaterShare = 0.8;

/** Derives the limits from the memory of the process in bytes. */
export function buildMemoryLimits(memoryBytes: number): MemoryLimits {
	const totalBytes = Math.floor(memoryBytes * buffersShare);
	return {
		totalBytes,
		shareBytes: Math.max(
			minShareBytes,
			Math.min(maxShareBytes, Math.floor(totalBytes / sharesInBudget)),
		),
	};
}

/** The bytes of one connection. */
export class BudgetAccount<Owner> {
	/** Accounts in a transaction are shed last. */
	isInTransaction = false;
	private readonly uses = new Map<BudgetUse, number>();
	private total = 0;

	constructor(
		readonly owner: Owner,
		private readonly budget: MemoryBudget<Owner>,
	) {
		// Fields are set by the parameters.
	}

	get bytes(): number {
		return this.total;
	}

	get isOverShare(): boolean {
		return this.total > this.budget.limits.shareBytes;
	}

	/** Sets the bytes of one use. */
	set(use: BudgetUse, bytes: number): void {
		const change = bytes - (this.uses.get(use) ?? 0);
		if (change !== 0) {
			this.uses.set(use, bytes);
			this.total += change;
			this.budget.charge(this, change);
		}
	}

	/** Closes the account; later changes count no more. */
	close(): void {
		this.budget.remove(this);
	}
}

export class MemoryBudget<Owner> {
	private readonly accounts = new Set<BudgetAccount<Owner>>();
	private used = 0;

	constructor(readonly limits: MemoryLimits) {
		// Fields are set by the parameters.
	}

	get usedBytes(): number {
		return this.used;
	}

	get isExceeded(): boolean {
		return this.used > this.limits.totalBytes;
	}

	/** Whether so many more bytes leave the budget below its limit. */
	hasRoom(bytes: number): boolean {
		return this.used + bytes <= this.limits.totalBytes;
	}

	open(owner: Owner): BudgetAccount<Owner> {
		const account = new BudgetAccount(owner, this);
		this.accounts.add(account);
		return account;
	}

	/** Counts a change of an open account. */
	charge(account: BudgetAccount<Owner>, change: number): void {
		if (this.accounts.has(account)) {
			this.used += change;
		}
	}

	remove(account: BudgetAccount<Owner>): void {
		if (this.accounts.delete(account)) {
			this.used -= account.bytes;
		}
	}

	/**
	 * Chooses the owners to close while the budget is exceeded; none otherwise. Their accounts are
	 * closed.
	 */
	chooseVictims(): Owner[] {
		if (!this.isExceeded) {
			return [];
		}

		const candidates = [...this.accounts]
			.filter(({bytes}) => bytes > 0)
			.sort(
				(first, second) =>
					Number(first.isInTransaction) - Number(second.isInTransaction) ||
					second.bytes - first.bytes,
			);
		const targetBytes = this.limits.totalBytes * lowWaterShare;
		const victims: Owner[] = [];
		for (const account of candidates) {
			if (this.used <= targetBytes) {
				break;
			}

			victims.push(account.owner);
			account.close();
		}

		return victims;
	}

	/** Returns the largest accounts, largest first. */
	listLargest(count: number): ReadonlyArray<BudgetAccount<Owner>> {
		return [...this.accounts]
			.sort((first, second) => second.bytes - first.bytes)
			.slice(0, count);
	}
}
