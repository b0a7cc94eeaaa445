/**
 * Sends a template change until its outcome is known. A resend carries the same change id, so it
 * gets the first answer again and never a second change.
 */
import * as timers from 'node:timers/promises';
import type * as types from '../common/types.js';
import * as client from './peer-client.js';

/** Pause before the second try; doubled for each further one. */
const firstPauseMs = 200;
const maxPauseMs = 2000;

export type ChangeOutcome =
	| {readonly type: 'accepted'; readonly version: number}
	| {
			/** Refused for good. */
			readonly type: 'refused';
			readonly message: string;
			readonly currentVersion?: number;
	  }
	| {
			/** No peer took it; nothing was changed. */
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
	for (let count = 0; count < options.tries; count++) {
		if (count > 0) {
			const pauseMs = firstPauseMs * 2 ** (count - 1);
			await timers.setTimeout(Math.min(maxPauseMs, pauseMs));
		}

		const peer = options.peers[count % options.peers.length];
		const {member, text, expectedVersion, changeId} = change;
		const answer = await client.sendRequest({
			peer,
			method: 'PUT',
			path: `/templates/${encodeURIComponent(member)}`,
			body: {text, expectedVersion, changeId},
			timeoutMs: options.timeoutMs,
		});
		const outcome = classifyAnswer(answer);
		if (outcome.type === 'accepted' || outcome.type === 'refused') {
			return outcome;
		}

		mayHaveRun ||= outcome.type === 'unknown';
		message = `${peer}: ${outcome.message}`;
	}

	return {type: mayHaveRun ? 'unknown' : 'failed', message};
}

function classifyAnswer(answer: client.PeerAnswer): ChangeOutcome {
	if (answer.type === 'lost') {
		const {message} = answer;
		return {type: answer.mayHaveArrived ? 'unknown' : 'failed', message};
	}

	const {status, text} = answer;
	const body = client.parseJson(text) as
		| {version?: unknown; error?: {code?: unknown; currentVersion?: unknown}}
		| undefined;
	if (status === 200 && typeof body?.version === 'number') {
		return {type: 'accepted', version: body.version};
	}

	const message = client.formatPeerError(status, text);
	if (status >= 400 && status < 500) {
		const currentVersion = body?.error?.currentVersion;
		return typeof currentVersion === 'number'
			? {type: 'refused', message, currentVersion}
			: {type: 'refused', message};
	}

	const wasNotMade = status === 503 && body?.error?.code === 'unavailable';
	return {type: wasNotMade ? 'failed' : 'unknown', message};
}
