import * as fc from 'fast-check';
import tap from 'tap';
import * as classify from './classify.js';
import * as sqlScanner from './sql-scanner.js';
import * as startupParameters from './startup-parameters.js';

const options = {seed: 20_261_206, numRuns: 2000};
/** Long enough to exhaust the stack of a pattern that stores a state for each character. */
const longLength = 9 * 1024 * 1024;

const marks =
	`' '' " "" \\ E U& b $ $a$ $1 1.5 /* */ -- ; ( - . select abs set hemlockarch /*hemlockarch_key=' a'*/ é 😀 \0 \n`.split(
		' ',
	);
const piece = fc.oneof(
	fc.constantFrom(' ', ...marks),
	fc.string({maxLength: 3}),
	fc.string({unit: 'binary', maxLength: 3}),
);
const text = fc.array(piece, {maxLength: 25}).map((parts) => parts.join(''));

// Guards against a text that ends the process, and against tokens that are larger than the text.
tap.test('any text is classified', async (t) => {
	fc.assert(
		fc.property(text, (sql) => {
			const scanned = sqlScanner.parseTokens(sql);
			const tokens = scanned.statements.flat();
			const length = [
				...tokens.map((token) => token.text),
				...scanned.comments,
			].reduce((sum, part) => sum + part.length, 0);
			classify.classifyText(sql);
			// A letter may have a longer lower case.
			return length <= 2 * sql.length;
		}),
		options,
	);
	t.pass('for all texts');
});

// Guards against a value that is taken for SQL, which would change the kind of its statement.
tap.test('quoted text stays one token', async (t) => {
	fc.assert(
		fc.property(text, (value) => {
			for (const [sql, type] of [
				[`'${value.replaceAll("'", "''")}'`, 'string'],
				[`"${value.replaceAll('"', '""')}"`, 'quoted'],
			] as const) {
				const [tokens] = sqlScanner.parseTokens(`x ${sql} y`).statements;
				if (
					JSON.stringify(tokens[1]) !== JSON.stringify({type, text: value}) ||
					tokens.length !== 3
				) {
					return false;
				}
			}

			return true;
		}),
		options,
	);
	t.pass('for all values');
});

// Guards against startup parameters that add statements to those that set them.
tap.test('startup parameters become one statement each', async (t) => {
	fc.assert(
		fc.property(
			fc.dictionary(text, text, {maxKeys: 4, noNullPrototype: true}),
			fc.boolean(),
			(parameters, hasOptions) => {
				const parsed = startupParameters.parseStartup(
					hasOptions
						? {...parameters, options: Object.values(parameters).join(' ')}
						: parameters,
					{},
				);
				if (parsed.isErr()) {
					return true;
				}

				const {parametersToSet} = parsed.value;
				const sql = startupParameters.formatSetStatements(parametersToSet);
				const {statements} = sqlScanner.parseTokens(sql);
				return (
					statements.length === parametersToSet.size &&
					statements.every(([first]) => first.text === 'set')
				);
			},
		),
		options,
	);
	t.pass('for all parameters');
});

// Guards against one long token of a caller that exhausts the stack and ends the process.
tap.test('long tokens are classified', async (t) => {
	const run = 'x'.repeat(longLength);
	for (const [kind, sql] of [
		['read', `SELECT '${run}'`],
		['read', `SELECT E'${run}'`],
		['read', `SELECT "${run}"`],
		['read', `SELECT $a$${run}$a$`],
		['read', `SELECT 1 --${run}`],
		['read', `SELECT ${run}`],
		['read', `SELECT 1${run}`],
		['read', `SELECT 1${' '.repeat(longLength)}`],
		['read', `SELECT 1 /*hemlockarch_key='${run}'*/`],
		['read', `SELECT 1 /*hemlockarch_${run}='a'*/`],
		['write', `SELECT '${run}`],
		['write', `SELECT E'${'\\'.repeat(longLength / 8)}`],
		['write', `SELECT f(1), $${run}`],
	] as const) {
		t.equal(classify.classifyText(sql).kind, kind, sql.slice(0, 32));
	}
});

// Guards against words of a server's dialect that are split, so that a call is not recognized.
tap.test('words end as at the server', async (t) => {
	for (const word of ['é', '😀', '\u{A0}', '\u{2028}']) {
		const {kind} = classify.classifyText(`SELECT my${word}abs(1)`);
		t.equal(kind, 'write', `U+${word.codePointAt(0)!.toString(16)}`);
	}
});
