/**
 * Classifies statement texts. What is not known to be a read is a write.
 */
import type * as proxy from '../../common/proxy/types.js';
import * as knownWords from './known-words.js';
import * as sqlScanner from './sql-scanner.js';
import type * as types from './types.js';

type Tokens = readonly sqlScanner.Token[];

/** Texts up to this length are remembered with their class. */
const cachedTextLength = 2000;
const cachedTexts = 2000;
const cache = new Map<string, types.StatementClass>();

export const lateBeginMessage =
	'a transaction can only begin with the first statement of a request, and COMMIT AND CHAIN is not supported by hemlockarch';

/** Commands of the replication protocol. */
const replicationCommands = new Set([
	'start_replication',
	'identify_system',
	'create_replication_slot',
	'drop_replication_slot',
	'read_replication_slot',
	'base_backup',
	'timeline_history',
]);

/** Commands whose first word decides. */
const commandKinds = new Map<string, proxy.RequestKind>([
	['show', 'read'],
	['fetch', 'read'],
	['move', 'read'],
	['close', 'read'],
	['savepoint', 'read'],
	['release', 'read'],
	['reset', 'sessionState'],
	['listen', 'sessionState'],
	['unlisten', 'sessionState'],
	['discard', 'sessionState'],
	['deallocate', 'sessionState'],
	['load', 'sessionState'],
]);

/** Classifies a text of one or several statements. */
export function classifyText(text: string): types.StatementClass {
	const known = cache.get(text);
	if (known) {
		return known;
	}

	const computed = classifyUnknownText(text);
	if (text.length <= cachedTextLength) {
		if (cache.size >= cachedTexts) {
			cache.clear();
		}

		cache.set(text, computed);
	}

	return computed;
}

/** Combines the classes of statements that one request executes in this order. */
export function classifySequence(
	kinds: readonly proxy.RequestKind[],
): proxy.RequestKind {
	const [first] = kinds;
	if (first === undefined) {
		return 'read';
	}

	if (kinds.length === 1) {
		return first;
	}

	if (kinds.includes('sessionState')) {
		return 'sessionState';
	}

	const rest = kinds.slice(1);
	const isPlain = rest.every((kind) => kind === 'read' || kind === 'write');
	if (first === 'beginReadOnly' && rest.every((kind) => kind === 'read')) {
		return 'beginReadOnly';
	}

	if (isPlain && (first === 'begin' || first === 'beginReadOnly')) {
		return 'begin';
	}

	return kinds.every((kind) => kind === 'read') ? 'read' : 'write';
}

/** Tells whether a request begins or ends a transaction. */
export function isTransactionControl(kind: proxy.RequestKind): boolean {
	return kind !== 'read' && kind !== 'write' && kind !== 'sessionState';
}

/**
 * Tells whether a request may commit and then leave another transaction open. Its answer would not
 * show that the commit has to be waited for.
 */
function opensAfterCommit(
	kinds: readonly proxy.RequestKind[],
	statements: readonly Tokens[],
): boolean {
	return (
		hasLateBegin(kinds) ||
		statements.some(
			(tokens, index) =>
				kinds[index] === 'commit' &&
				hasWord(tokens, 'chain') &&
				!hasWord(tokens, 'no'),
		)
	);
}

function findRefusal(
	kinds: readonly proxy.RequestKind[],
	statements: readonly Tokens[],
	settings: number,
): string | undefined {
	if (statements.some((tokens) => tokens[0].text === 'copy')) {
		return 'COPY is not supported by hemlockarch';
	}

	if (statements.some((tokens) => replicationCommands.has(tokens[0].text))) {
		return 'the replication protocol is not supported by hemlockarch';
	}

	if (statements.length > 1 && settings > 0) {
		return 'SET and SHOW of hemlockarch settings must be sent as requests of their own';
	}

	return opensAfterCommit(kinds, statements) ? lateBeginMessage : undefined;
}

/** Tells whether a transaction begins after other statements of the same request. */
export function hasLateBegin(kinds: readonly proxy.RequestKind[]): boolean {
	return kinds.some(
		(kind, index) =>
			index > 0 && (kind === 'begin' || kind === 'beginReadOnly'),
	);
}

function classifyUnknownText(text: string): types.StatementClass {
	const scanned = sqlScanner.parseTokens(text);
	const kinds = scanned.statements.map((tokens) => classifyStatement(tokens));
	const controls = kinds.some((kind) => isTransactionControl(kind));
	const settings = scanned.statements.filter((tokens) => isOwnSetting(tokens));
	return {
		kind: scanned.isCertain ? classifySequence(kinds) : chooseUncertain(kinds),
		isEmpty: scanned.statements.length === 0,
		refusal: findRefusal(kinds, scanned.statements, settings.length),
		mixesControl: kinds.length > 1 && controls,
		setting:
			scanned.statements.length === 1 && settings[0]
				? parseSetting(settings[0])
				: undefined,
		preparesStatement: scanned.statements.some(
			(tokens) => tokens[0]?.text === 'prepare',
		),
		attributes: parseComments(scanned.comments),
	};
}

function chooseUncertain(
	kinds: readonly proxy.RequestKind[],
): proxy.RequestKind {
	return kinds.includes('sessionState') ? 'sessionState' : 'write';
}

function hasWord(tokens: Tokens, ...words: string[]): boolean {
	return tokens.some(
		(token) => token.type === 'word' && words.includes(token.text),
	);
}

function classifyStatement(tokens: Tokens): proxy.RequestKind {
	const [first = '', second = ''] = tokens.map((token) => token.text);
	if (usesSessionState(tokens)) {
		return 'sessionState';
	}

	switch (first) {
		case 'select':
		case 'values':
		case 'table':
		case 'with':
		case '(': {
			return classifyQuery(tokens);
		}

		case 'begin':
		case 'start': {
			return hasReadOnlyMode(tokens) ? 'beginReadOnly' : 'begin';
		}

		case 'commit':
		case 'end': {
			return second === 'prepared' ? 'write' : 'commit';
		}

		case 'rollback':
		case 'abort': {
			return classifyRollback(tokens);
		}

		case 'set': {
			return ['local', 'transaction', 'constraints'].includes(second)
				? 'read'
				: 'sessionState';
		}

		case 'prepare': {
			return second === 'transaction' ? 'write' : 'sessionState';
		}

		case 'declare': {
			return hasWord(tokens, 'hold') ? 'sessionState' : classifyQuery(tokens);
		}

		default: {
			return isPlainExplain(tokens)
				? 'read'
				: (commandKinds.get(first) ?? 'write');
		}
	}
}

function isPlainExplain(tokens: Tokens): boolean {
	return tokens[0].text === 'explain' && !hasWord(tokens, 'analyze', 'analyse');
}

/** Finds temporary objects and functions whose effect stays on the connection. */
function usesSessionState(tokens: Tokens): boolean {
	const isCreate = tokens[0].text === 'create';
	return tokens.some(
		(token, index) =>
			(token.type === 'word' || token.type === 'quoted') &&
			(knownWords.sessionFunctions.has(token.text) ||
				token.text === 'pg_temp' ||
				((token.text === 'temp' || token.text === 'temporary') &&
					(isCreate
						? ['table', 'view', 'sequence', 'recursive'].includes(
								tokens[index + 1]?.text ?? '',
							)
						: ['into', 'local', 'global'].includes(
								tokens[index - 1]?.text ?? '',
							)))),
	);
}

function hasReadOnlyMode(tokens: Tokens): boolean {
	return tokens.some(
		(token, index) =>
			token.text === 'read' && tokens[index + 1]?.text === 'only',
	);
}

function classifyRollback(tokens: Tokens): proxy.RequestKind {
	if (tokens[1]?.text === 'prepared') {
		return 'write';
	}

	return hasWord(tokens, 'to') ? 'read' : 'rollback';
}

function classifyQuery(tokens: Tokens): proxy.RequestKind {
	for (const [index, token] of tokens.entries()) {
		if (token.type === 'word' && isWritingWord(tokens, index)) {
			return 'write';
		}

		if (tokens[index + 1]?.text === '(' && !isHarmlessCall(tokens, index)) {
			return 'write';
		}
	}

	return 'read';
}

function isWritingWord(tokens: Tokens, index: number): boolean {
	const {text} = tokens[index];
	if (knownWords.writingWords.has(text)) {
		return true;
	}

	const next = tokens[index + 1]?.text ?? '';
	return text === 'for' && ['update', 'share', 'no', 'key'].includes(next);
}

function isHarmlessCall(tokens: Tokens, index: number): boolean {
	const token = tokens[index];
	if (token.type !== 'word' && token.type !== 'quoted') {
		return true;
	}

	const previous = tokens[index - 1];
	if (previous?.type === 'word' && previous.text === 'as') {
		return true;
	}

	if (previous?.text === '.') {
		return (
			tokens[index - 2]?.text === 'pg_catalog' &&
			knownWords.readOnlyFunctions.has(token.text)
		);
	}

	return (
		token.type === 'word' &&
		(knownWords.readOnlyFunctions.has(token.text) ||
			knownWords.wordsBeforeParenthesis.has(token.text))
	);
}

/** Offset of the setting's name after SET, SET SESSION, SET LOCAL, SHOW or RESET. */
function findSettingName(tokens: Tokens): number {
	const first = tokens[0].text;
	if (first !== 'set' && first !== 'show' && first !== 'reset') {
		return -1;
	}

	const scope = tokens[1]?.text;
	return first === 'set' && (scope === 'session' || scope === 'local') ? 2 : 1;
}

function isOwnSetting(tokens: Tokens): boolean {
	const name = findSettingName(tokens);
	return (
		name > 0 &&
		tokens[name]?.text.toLowerCase() === 'hemlockarch' &&
		tokens[name + 1]?.text === '.'
	);
}

function parseSetting(tokens: Tokens): types.SettingStatement {
	const start = findSettingName(tokens);
	const name = (tokens[start + 2]?.text ?? '').toLowerCase();
	const first = tokens[0].text;
	if (first === 'show' || first === 'reset') {
		return tokens.length === start + 3
			? {type: first, name}
			: {type: 'malformed'};
	}

	const operator = tokens[start + 3]?.text;
	const sign = tokens[start + 4]?.text === '-' ? '-' : '';
	const value = tokens[start + 4 + sign.length];
	if (
		(operator !== '=' && operator !== 'to') ||
		value === undefined ||
		value.type === 'symbol' ||
		tokens.length !== start + 5 + sign.length
	) {
		return {type: 'malformed'};
	}

	if (value.type === 'word' && value.text === 'default') {
		return {type: 'reset', name};
	}

	return {
		type: 'set',
		name,
		value: sign + value.text,
		isLocal: tokens[1].text === 'local',
	};
}

/** Reads `hemlockarch_<name>='<value>'` of sqlcommenter comments; values are URL-encoded. */
function parseComments(
	comments: readonly string[],
): ReadonlyArray<readonly [string, string]> {
	const found: Array<readonly [string, string]> = [];
	for (const comment of comments) {
		const pairs = comment.matchAll(
			/(?<![\w.])hemlockarch_(?<name>\w+)\s*=\s*'(?<value>(?:[^'\\]|\\.)*)'/gv,
		);
		for (const pair of pairs) {
			found.push([
				pair.groups!.name,
				decodeValue(pair.groups!.value.replaceAll(/\\(?<mark>.)/gv, '$<mark>')),
			]);
		}
	}

	return found;
}

function decodeValue(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}
