import * as fc from 'fast-check';
import tap from 'tap';
import * as memoryBudget from './memory-budget.js';

const limits = {totalBytes: 1000, shareBytes: 400};

// Guards against shedding ordinary callers before those who use most.
tap.test('the largest accounts are shed first', async (t) => {
	const budget = new memoryBudget.MemoryBudget<string>(limits);
	budget.open('small').set('input', 100);
	budget.open('large').set('queued', 500);
	budget.open('medium').set('output', 300);
	t.same(budget.chooseVictims(), []);
	budget.open('late').set('input', 200);
	t.same(budget.chooseVictims(), ['large']);
	t.equal(budget.usedBytes, 600);
});

// Guards against losing an open transaction for the sake of a buffer.
tap.test('accounts in a transaction are shed last', async (t) => {
	const budget = new memoryBudget.MemoryBudget<string>(limits);
	const account = budget.open('transaction');
	account.isInTransaction = true;
	account.set('running', 700);
	budget.open('idle').set('state', 400);
	t.same(budget.chooseVictims(), ['idle']);
	account.set('output', 500);
	t.same(budget.chooseVictims(), ['transaction']);
	t.equal(budget.usedBytes, 0);
});

// Guards against a sum that drifts from the accounts, which would refuse everybody in the end.
tap.test('the sum equals the open accounts', async (t) => {
	const step = fc.record({
		index: fc.nat(4),
		use: fc.constantFrom<memoryBudget.BudgetUse>('input', 'output', 'state'),
		bytes: fc.nat(500),
		closes: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 60}), (steps) => {
			const budget = new memoryBudget.MemoryBudget<number>(limits);
			const accounts = [0, 1, 2, 3, 4].map((owner) => budget.open(owner));
			const open = new Set(accounts);
			for (const {index, use, bytes, closes} of steps) {
				const account = accounts[index];
				account.set(use, bytes);
				if (closes) {
					account.close();
					open.delete(account);
				}

				for (const owner of budget.chooseVictims()) {
					open.delete(accounts[owner]);
				}

				let sum = 0;
				for (const item of open) {
					sum += item.bytes;
				}

				if (budget.usedBytes !== sum || sum > limits.totalBytes) {
					return false;
				}
			}

			return true;
		}),
	);
	t.pass('for all sequences');
});

// Guards against defaults that refuse a message of 1 MiB on a small VM.
tap.test('a large message fits into the share of a small VM', async (t) => {
	const {totalBytes, shareBytes} = memoryBudget.buildMemoryLimits(
		350 * 1024 * 1024,
	);
	t.ok(shareBytes >= 4 * 1024 * 1024);
	t.ok(totalBytes >= 8 * shareBytes);
});
