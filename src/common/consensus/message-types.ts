/**
 * Which messages between peers belong to the replicated log.
 */
import type * as messages from '../messages.js';
import type * as consensus from './types.js';

const consensusMessageTypes: ReadonlySet<string> = new Set<
	consensus.ConsensusMessage['type']
>([
	'preVote',
	'vote',
	'preVoteReply',
	'voteReply',
	'append',
	'appendReply',
	'installSnapshot',
	'joinRequest',
	'joinReply',
]);

export function isConsensusMessage(
	message: messages.PeerMessage,
): message is consensus.ConsensusMessage {
	return consensusMessageTypes.has(message.type);
}
