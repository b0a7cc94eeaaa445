/**
 * Whether the sender of a message waits for an answer. A side that waits probes the connection; a side
 * that only answers relies on the other one.
 */
import type * as messages from '../../common/messages.js';

export type MessageRole =
	/** The receiver has to answer it, or the sender has to know that it arrived. */
	| 'request'
	/** It answers a request, so it shows that the connection works in both directions. */
	| 'answer'
	/** A later message makes up for its loss, or the receiver finds the loss. */
	| 'notice';

const roles: Readonly<Record<messages.PeerMessage['type'], MessageRole>> = {
	forwardRequest: 'request',
	forwardCancel: 'request',
	forwardRelease: 'request',
	floorRequest: 'request',
	renewLease: 'request',
	allowanceRequest: 'request',
	revokeLease: 'request',
	leaseReleased: 'request',
	templateFetch: 'request',
	configurationFetch: 'request',
	proposeChange: 'request',
	readConfiguration: 'request',
	preVote: 'request',
	vote: 'request',
	append: 'request',
	installSnapshot: 'request',
	joinRequest: 'request',
	forwardDone: 'answer',
	floorAnswer: 'answer',
	leaseGranted: 'answer',
	allowanceGranted: 'answer',
	notLeader: 'answer',
	templatePush: 'answer',
	configurationPart: 'answer',
	configurationMissing: 'answer',
	changeResult: 'answer',
	configurationRead: 'answer',
	preVoteReply: 'answer',
	voteReply: 'answer',
	appendReply: 'answer',
	joinReply: 'answer',
	forwardChunk: 'notice',
	forwardUnbound: 'notice',
	reportSubscribe: 'notice',
	serverReports: 'notice',
	configurationChanged: 'notice',
	leaderAnnounced: 'notice',
	ping: 'notice',
	pingRequest: 'notice',
	ack: 'notice',
	sync: 'notice',
	hello: 'notice',
	linkPing: 'notice',
	linkPong: 'notice',
};

/** True for the type of a message of this protocol version. */
export function isMessageType(
	type: string,
): type is messages.PeerMessage['type'] {
	return Object.hasOwn(roles, type);
}

export function getRole(message: messages.PeerMessage): MessageRole {
	return roles[message.type];
}
