import tap from 'tap';
import type * as proxy from '../../common/proxy/types.js';
import * as classify from './classify.js';

const cases: ReadonlyArray<readonly [proxy.RequestKind, readonly string[]]> = [
	[
		'read',
		[
			'SELECT 1',
			'  -- comment\n select * from t where a in (1, 2)',
			'/* outer /* inner */ insert */ SELECT 1',
			"SELECT 'insert into t'",
			String.raw`SELECT E'it\'s; DELETE FROM t'`,
			'SELECT $tag$; DELETE FROM t; $tag$',
			'SELECT "update" FROM "insert"',
			'SELECT count(*), pg_catalog.lower(a) FROM t AS x (a, b)',
			'SELECT sum(a) FILTER (WHERE a > 1) OVER (ORDER BY b) FROM t',
			'SELECT CAST(a AS numeric(10, 2)), substring(b FROM 1 FOR 3) FROM t',
			'WITH x AS (SELECT 1) SELECT * FROM x',
			'(SELECT 1) UNION (SELECT 2)',
			'VALUES (1), (2)',
			'TABLE t',
			'SHOW server_version',
			'EXPLAIN SELECT * FROM t',
			'SET LOCAL statement_timeout = 5',
			'SET TRANSACTION READ ONLY',
			'SAVEPOINT a',
			'ROLLBACK TO SAVEPOINT a',
			'DECLARE c CURSOR FOR SELECT 1',
			'SELECT 1; SELECT 2;',
			'',
		],
	],
	[
		'write',
		[
			'INSERT INTO t VALUES (1)',
			'SELECT * FROM t FOR UPDATE',
			'SELECT * FROM t FOR NO KEY UPDATE',
			'SELECT * FROM t FOR SHARE SKIP LOCKED',
			'SELECT * INTO x FROM t',
			'WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x',
			"SELECT nextval('s')",
			'SELECT my_function(1)',
			'SELECT "lower"(a) FROM t',
			'SELECT my_schema.lower(a) FROM t',
			'SELECT pg_advisory_xact_lock(1)',
			'EXPLAIN ANALYZE DELETE FROM t',
			'EXPLAIN (ANALYZE) DELETE FROM t',
			'CREATE TABLE t (temp int)',
			'DO $$ BEGIN DELETE FROM t; END $$',
			'CALL p()',
			'NOTIFY a',
			'VACUUM',
			"PREPARE TRANSACTION 'a'",
			"COMMIT PREPARED 'a'",
			"ROLLBACK PREPARED 'a'",
			'SELECT 1; DELETE FROM t',
			'BEGIN; INSERT INTO t VALUES (1); COMMIT',
			'COMMIT; BEGIN',
			String.raw`SELECT 'a\'; DELETE FROM t; --'`,
			"SELECT 'no end",
			'SELECT /* no end',
			'SELECT $a$ no end',
			'DECLARE c CURSOR FOR SELECT * FROM t FOR UPDATE',
		],
	],
	[
		'begin',
		[
			'BEGIN',
			'START TRANSACTION ISOLATION LEVEL SERIALIZABLE',
			'BEGIN READ WRITE',
			'BEGIN; SELECT 1',
			'BEGIN READ ONLY; DELETE FROM t',
		],
	],
	[
		'beginReadOnly',
		[
			'BEGIN READ ONLY',
			'START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY',
			'BEGIN READ ONLY; SELECT 1',
		],
	],
	['commit', ['COMMIT', 'END', 'COMMIT AND CHAIN']],
	['rollback', ['ROLLBACK', 'ABORT', 'ROLLBACK AND CHAIN']],
	[
		'sessionState',
		[
			'SET search_path = a',
			'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
			'RESET ALL',
			'LISTEN a',
			'PREPARE a AS SELECT 1',
			'DEALLOCATE a',
			'DISCARD ALL',
			'CREATE TEMP TABLE t (a int)',
			'CREATE OR REPLACE TEMPORARY VIEW v AS SELECT 1',
			'CREATE LOCAL TEMPORARY TABLE t (a int)',
			'CREATE TABLE pg_temp.t (a int)',
			'SELECT 1 INTO TEMP x',
			'SELECT pg_advisory_lock(1)',
			'SELECT pg_catalog.set_config($1, $2, false)',
			'DECLARE c CURSOR WITH HOLD FOR SELECT 1',
			'SELECT 1; SET a = 1',
		],
	],
];

// Guards against a statement that changes data or session state but is classified as a read.
tap.test('statements are classified by what they change', async (t) => {
	for (const [kind, texts] of cases) {
		for (const text of texts) {
			t.equal(classify.classifyText(text).kind, kind, text);
		}
	}
});

// Guards against a COPY, a setting or an attribute that is not recognized.
tap.test('refusals, settings and attributes are recognized', async (t) => {
	for (const text of [
		'select 1; copy t from stdin',
		'IDENTIFY_SYSTEM',
		"SET hemlockarch.a = 'b'; SELECT 1",
		'COMMIT; BEGIN',
		'COMMIT AND CHAIN',
		"SELECT set_config('hemlockarch.key', 'a', false)",
	]) {
		t.type(classify.classifyText(text).refusal, 'string', text);
	}

	for (const text of [
		'select copy from t',
		'COMMIT AND NO CHAIN',
		'BEGIN; SELECT 1; COMMIT',
	]) {
		t.equal(classify.classifyText(text).refusal, undefined, text);
	}

	t.ok(classify.classifyText('BEGIN; SELECT 1').preventsKeyClaim);
	t.strictSame(
		classify.classifyText("SET SESSION HemlockArch.key TO 'it''s'").setting,
		{
			type: 'set',
			name: 'key',
			value: "it's",
			isLocal: false,
		},
	);
	t.strictSame(
		classify.classifyText('set hemlockarch.rank = default').setting,
		{
			type: 'reset',
			name: 'rank',
		},
	);
	t.strictSame(
		classify.classifyText(
			"SELECT 'hemlockarch_rank=''x''' /*traceparent='1',hemlockarch_rank='urgent',hemlockarch_key='a%2Fb'*/",
		).attributes,
		[
			['rank', 'urgent'],
			['key', 'a/b'],
		],
	);
});
