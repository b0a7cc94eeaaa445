/**
 * Sends a template change, and retries it until its outcome is known or the limit of tries is reached.
 * A retry carries the same change id, so it gets the first result again and never makes a second
 * change.
 */
import * as timers from 'node:timers/promises';
import type * as types from '../common/types.js';
import * as client from './peer-client.js';

/** Delay before the first retry; doubled for each further one. */
const firstRetryDelayMs = 200;
const maxRetryDelayMs = 2000;

export type ChangeOutcome =
	| {readonly type: 'accepted'; readonly version: number}
	| {
			/** Refused permanently; the change is not retried. */
			readonly type: 'refused';
			readonly message: string;
			/** True when the replicated state decided it, which then holds for earlier tries too. */
			readonly isDecided: boolean;
			readonly currentVersion?: number;
	  }
	| {
			/** No peer accepted the change; nothing was changed. */
			readonly type: 'failed';
			readonly message: string;
	  }
	| {readonly type: 'unknown'; readonly message: string};

export type ChangeOptions = {
	readonly peers: readonly string[];
	readonly timeoutMs: number;
	readonly tries: number;
};

/** Sends the change to the peers in turn. */
export async function sendChange(
	change: types.TemplateChange,
	options: ChangeOptions,
): Promise<ChangeOutcome> {
	let mayHaveRun = false;
	let message = '';
	for (let attempt = 0; attempt < options.tries; attempt++) {
		if (attempt > 0) {
			const delayMs = firstRetryDelayMs * 2 ** (attempt - 1);
			await timers.setTimeout(Math.min(maxRetryDelayMs, delayMs));
		}

		const peer = options.peers[attempt % options.peers.length];
		const {member, text, expectedVersion, changeId} = change;
		const result = await client.sendRequest({
			peer,
			method: 'PUT',
			path: `/templates/${encodeURIComponent(member)}`,
			body: {text, expectedVersion, changeId},
			timeoutMs: options.timeoutMs,
		});
		const outcome = classifyResult(result);
		if (outcome.type === 'accepted') {
			return outcome;
		}

		if (outcome.type === 'refused') {
			return mayHaveRun && !outcome.isDecided
				? {type: 'unknown', message: `${peer}: ${outcome.message}`}
				: outcome;
		}

		mayHaveRun ||= outcome.type === 'unknown';
		message = `${peer}: ${outcome.message}`;
	}

	return {type: mayHaveRun ? 'unknown' : 'failed', message};
}

function classifyResult(result: client.PeerResult): ChangeOutcome {
	if (result.type === 'lost') {
		const {message} = result;
		return {type: result.mayHaveArrived ? 'unknown' : 'failed', message};
	}

	const {status, text} = result;
	const body = client.parseJson(text) as
		| {version?: unknown; error?: {code?: unknown; currentVersion?: unknown}}
		| undefined;
	if (status === 200 && typeof body?.version === 'number') {
		return {type: 'accepted', version: body.version};
	}

	const message = client.formatPeerError(status, text);
	if (status >= 400 && status < 500) {
		const {code, currentVersion} = body?.error ?? {};
		return {
			type: 'refused',
			message,
			isDecided: code === 'versionConflict' || code === 'invalidTemplate',
			...(typeof currentVersion === 'number' ? {currentVersion} : {}),
		};
	}

	const isKnownUnchanged =
		status === 503 && body?.error?.code === 'unavailable';
	return {type: isKnownUnchanged ? 'failed' : 'unknown', message};
}
