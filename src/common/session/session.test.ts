import tap from 'tap';
import * as sessions from './session.js';
import type * as session from './types.js';

type Forward = Extract<session.StatementPlan, {type: 'forward'}>;

const begin = {type: 'begin', isReadOnly: false} as const;
const write = {type: 'write'} as const;

function forward(
	state: sessions.Session,
	statement: session.Statement,
): Forward {
	const plan = state.planStatement(statement);
	if (plan.type !== 'forward') {
		throw new Error(`expected to forward, got ${plan.type}`);
	}

	return plan;
}

// Guards against a BEGIN that occupies a connection before the first statement.
tap.test('BEGIN is sent with the first statement', async (t) => {
	const state = new sessions.Session();
	t.same(state.planStatement(begin), {type: 'answer'});
	t.equal(state.status, 'inTransaction');
	t.match(forward(state, write), {kind: 'begin', opens: 'begin'});
});

// Guards against a read-only transaction that needs the primary.
tap.test('a read-only transaction opens as read-only', async (t) => {
	const state = new sessions.Session();
	state.planStatement({type: 'begin', isReadOnly: true});
	t.match(forward(state, {type: 'read'}), {
		kind: 'beginReadOnly',
		opens: 'beginReadOnly',
	});
});

// Guards against a COMMIT of an empty transaction that is acknowledged without a server.
tap.test('an empty transaction is committed by a server', async (t) => {
	const state = new sessions.Session();
	state.planStatement(begin);
	const plan = forward(state, {type: 'commit'});
	t.equal(plan.opens, 'begin');
	state.handleAnswer(plan, 'idle');
	t.equal(state.transaction, 'none');
});

// Guards against a statement that runs outside the transaction that its caller considers open.
tap.test('refuses statements until a lost transaction ends', async (t) => {
	const state = new sessions.Session();
	state.planStatement(begin);
	state.handleAnswer(forward(state, write), 'inTransaction');
	state.handleTransactionLoss();
	t.same(state.planStatement(write), {
		type: 'refuse',
		problem: 'transactionLost',
	});
	t.equal(state.status, 'failed');
	t.match(state.planStatement(write), {problem: 'malformed'});
	t.same(state.planStatement({type: 'rollback'}), {type: 'abandon'});
	t.equal(state.status, 'idle');
});

// Guards against a COMMIT that is reported as successful although the transaction is lost.
tap.test('the COMMIT of a lost transaction is refused', async (t) => {
	const state = new sessions.Session();
	state.planStatement(begin);
	state.handleAnswer(forward(state, write), 'inTransaction');
	state.handleTransactionLoss();
	t.match(state.planStatement({type: 'commit'}), {problem: 'transactionLost'});
	t.equal(state.status, 'idle');
});

// Guards against running the rest of a transaction after one of its statements was refused.
tap.test('a refusal fails the transaction', async (t) => {
	const state = new sessions.Session();
	state.planStatement(begin);
	state.handleRefusal(forward(state, write));
	t.equal(state.status, 'failed');
	const single = new sessions.Session();
	single.handleRefusal(forward(single, write));
	t.equal(single.status, 'idle');
});

// Guards against reporting that a write with an unknown outcome changed nothing, and against
// reporting an unknown outcome for a statement that cannot have changed anything.
tap.test('only writes and their COMMIT may have changed data', async (t) => {
	const state = new sessions.Session();
	t.ok(state.mayHaveWritten(forward(state, write)));
	t.notOk(state.mayHaveWritten(forward(state, {type: 'read'})));
	state.planStatement(begin);
	const first = forward(state, write);
	t.notOk(state.mayHaveWritten(first));
	state.handleAnswer(first, 'inTransaction');
	t.ok(state.mayHaveWritten(forward(state, {type: 'commit'})));
});

// Guards against reporting an unknown outcome for the COMMIT of a transaction that only read.
tap.test('a COMMIT after reads only cannot have changed data', async (t) => {
	const state = new sessions.Session();
	state.planStatement(begin);
	state.handleAnswer(forward(state, {type: 'read'}), 'inTransaction');
	t.notOk(state.mayHaveWritten(forward(state, {type: 'commit'})));
});

// Guards against an EXECUTE that runs a statement other than the one its caller prepared.
tap.test('prepared statements belong to the session', async (t) => {
	const state = new sessions.Session();
	const definition = {kind: 'write', shape: 'q2c'} as const;
	state.planStatement({type: 'prepare', name: 's1', definition});
	t.match(forward(state, {type: 'execute', name: 's1'}), {
		kind: 'write',
		prepared: definition,
	});
	state.planStatement({type: 'deallocate', name: 's1'});
	t.match(state.planStatement({type: 'execute', name: 's1'}), {
		problem: 'notPrepared',
	});
	const other = new sessions.Session();
	t.match(other.planStatement({type: 'execute', name: 's1'}), {
		problem: 'notPrepared',
	});
});

// Guards against unbounded session state, and against COMMIT or ROLLBACK without a transaction.
tap.test('excess values and statements out of order are refused', async (t) => {
	const state = new sessions.Session();
	for (let index = 0; index < 256; index++) {
		state.planStatement({type: 'set', name: `v${index}`, value: '1'});
	}

	t.match(state.planStatement({type: 'set', name: 'more', value: '1'}), {
		problem: 'malformed',
	});
	t.match(state.planStatement({type: 'commit'}), {problem: 'malformed'});
	t.match(state.planStatement({type: 'rollback'}), {problem: 'malformed'});
	t.match(state.planStatement({type: 'unknown'}), {problem: 'malformed'});
});
