/**
 * Classifies statement texts. A statement that is not known to be a read counts as a write.
 */
import type * as proxy from '../../common/proxy/types.js';
import * as knownWords from './known-words.js';
import * as sqlScanner from './sql-scanner.js';
import * as details from './statement-details.js';
import type * as types from './types.js';

type Tokens = readonly sqlScanner.Token[];

/** Longest text whose class is cached, in characters. */
const maxCachedTextLength = 2000;
const maxCachedTexts = 2000;
/** Attributes in the comments of one text; a request uses at most one value of each. */
const maxAttributes = 32;
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

/** Commands whose first word determines the kind. */
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
	const cached = cache.get(text);
	if (cached) {
		return cached;
	}

	const computed = classifyUncachedText(text);
	if (text.length <= maxCachedTextLength) {
		if (cache.size >= maxCachedTexts) {
			cache.clear();
		}

		cache.set(text, computed);
	}

	return computed;
}

/** Combines the kinds of statements that one request executes in this order. */
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

/**
 * Tells whether statements of one request begin or end a transaction, or change both data and the
 * session: an idempotency key cannot be claimed in one transaction with all of them.
 */
export function preventsKeyClaim(kinds: readonly proxy.RequestKind[]): boolean {
	return (
		kinds.length > 1 &&
		(kinds.some(
			(kind) => kind !== 'read' && kind !== 'write' && kind !== 'sessionState',
		) ||
			(kinds.includes('write') && kinds.includes('sessionState')))
	);
}

/**
 * Tells whether a request may commit and then leave another transaction open. Its response would
 * end with the status of the open transaction and not show that the proxy has to wait for the commit.
 */
function canOpenAfterCommit(
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
	settingCount: number,
): string | undefined {
	if (statements.some((tokens) => tokens[0].text === 'copy')) {
		return 'COPY is not supported by hemlockarch';
	}

	if (statements.some((tokens) => replicationCommands.has(tokens[0].text))) {
		return 'the replication protocol is not supported by hemlockarch';
	}

	if (statements.some((tokens) => details.callsSetConfig(tokens))) {
		return 'set_config of hemlockarch settings is not supported; use SET';
	}

	if (statements.length > 1 && settingCount > 0) {
		return 'SET and SHOW of hemlockarch settings must be sent as requests of their own';
	}

	return canOpenAfterCommit(kinds, statements) ? lateBeginMessage : undefined;
}

/** Tells whether a transaction begins after other statements of the same request. */
export function hasLateBegin(kinds: readonly proxy.RequestKind[]): boolean {
	return kinds.some(
		(kind, index) =>
			index > 0 && (kind === 'begin' || kind === 'beginReadOnly'),
	);
}

function classifyUncachedText(text: string): types.StatementClass {
	const scanned = sqlScanner.parseTokens(text);
	const kinds = scanned.statements.map((tokens) => classifyStatement(tokens));
	const settings = scanned.statements.filter((tokens) =>
		details.isHemlockarchSetting(tokens),
	);
	const attributes = details.parseComments(scanned.comments);
	const hasTooManyAttributes = attributes.length > maxAttributes;
	return {
		kind: scanned.isCertain
			? classifySequence(kinds)
			: classifyUncertain(kinds),
		isEmpty: scanned.statements.length === 0,
		refusal: hasTooManyAttributes
			? `the comments have more than ${maxAttributes} hemlockarch attributes`
			: findRefusal(kinds, scanned.statements, settings.length),
		preventsKeyClaim: preventsKeyClaim(kinds),
		setting:
			scanned.statements.length === 1 && settings[0]
				? details.parseSetting(settings[0])
				: undefined,
		clearing: details.findClearing(scanned.statements, kinds),
		resetsSettings: scanned.statements.some(
			(tokens) =>
				['reset', 'discard'].includes(tokens[0].text) &&
				tokens[1]?.text === 'all',
		),
		deallocatedName:
			scanned.statements.length === 1
				? details.findDeallocated(scanned.statements[0])
				: undefined,
		preparesStatement: scanned.statements.some(
			(tokens) => tokens[0]?.text === 'prepare',
		),
		attributes: hasTooManyAttributes ? [] : attributes,
	};
}

function classifyUncertain(
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
	if (leavesSessionState(tokens)) {
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

/**
 * Tells whether a statement creates or uses temporary objects, or calls functions whose effect stays
 * on the connection.
 */
function leavesSessionState(tokens: Tokens): boolean {
	const isCreate = tokens[0].text === 'create';
	return tokens.some(
		(token, index) =>
			(token.type === 'word' || token.type === 'quoted') &&
			(knownWords.sessionStateFunctions.has(token.text) ||
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
		if (token.type === 'word' && isWriteKeyword(tokens, index)) {
			return 'write';
		}

		if (tokens[index + 1]?.text === '(' && !isReadOnlyCall(tokens, index)) {
			return 'write';
		}
	}

	return 'read';
}

function isWriteKeyword(tokens: Tokens, index: number): boolean {
	const {text} = tokens[index];
	if (knownWords.writeKeywords.has(text)) {
		return true;
	}

	const next = tokens[index + 1]?.text ?? '';
	return text === 'for' && ['update', 'share', 'no', 'key'].includes(next);
}

function isReadOnlyCall(tokens: Tokens, index: number): boolean {
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
