/** Builds peer messages of a given size for the cost measurements. */
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';

export function buildForwardRequest(
	payloadBytes: number,
): messages.PeerMessage {
	return {
		type: 'forwardRequest',
		attempt: 123_456 as ids.AttemptId,
		session: 4321 as ids.SessionId,
		member: 'aloe' as ids.MemberId,
		group: 'bloom-1' as ids.GroupId,
		server: 'bloom-1-0' as ids.UpstreamId,
		rank: 'urgent',
		kind: 'write',
		deadlineMs: 300,
		floor: {term: 3, offset: 123_456_789},
		stalenessMs: 0,
		templateVersion: 7,
		payload: {frames: new Uint8Array(payloadBytes)},
	};
}

export function buildReports(serverCount: number): messages.PeerMessage {
	return {
		type: 'serverReports',
		reports: Array.from({length: serverCount}, (_, index) => ({
			server: `bloom-${index}` as ids.UpstreamId,
			group: 'bloom' as ids.GroupId,
			role: 'replica' as const,
			term: 3,
			applied: 123_456_789,
			answerAgeMs: 51.25,
			stalenessMs: 251.5,
			expectedWaitMs: {urgent: 0.5, normal: 3.25, background: 88.125},
			writable: false,
			nextReportMs: 200,
		})),
	};
}

export function buildGrant(serverCount: number): messages.PeerMessage {
	return {
		type: 'leaseGranted',
		sequence: 9,
		durationMs: 1500,
		owned: Array.from({length: serverCount}, (_, index) => ({
			server: `bloom-${index}` as ids.UpstreamId,
			epoch: {consensusTerm: 5, counter: index},
		})),
		groups: [],
		owners: [],
		templates: [],
		confirmed: [],
		appliedIndex: 1700,
	};
}
