/**
 * Shapes of the messages that change lasting state: consensus, leases, membership, configuration and
 * operators' requests. A message of another shape is rejected before it reaches a reducer, which an
 * error in the middle of a step would leave inconsistent. Messages of requests are left out: they are
 * frequent, and an error in one of them ends only its request or link.
 */
import * as digest from '../../common/membership/digest.js';
import type * as messages from '../../common/messages.js';
import * as shape from './shape.js';

const {
	isText: text,
	isFlag: flag,
	isCount: count,
	isQuantity: quantity,
	isAmount: amount,
} = shape;
const epoch = shape.createObject({consensusTerm: count, counter: count});
const writeTerm = shape.createOptional(count);
const scope = shape.createLiteral(['write', 'ownership']);
const role = shape.createLiteral(['primary', 'replica']);

const announcement = shape.createObject({
	version: count,
	group: text,
	server: text,
	address: text,
	dataCentre: text,
	role,
	term: count,
	position: quantity,
	slots: count,
	connectionLimit: count,
	departing: flag,
	startedAt: count,
	synchronousReplicas: shape.createOptional(count),
});
const status = shape.createObject({
	server: text,
	role,
	term: count,
	position: quantity,
	receivedTerm: shape.createOptional(count),
	applied: quantity,
	logTerm: shape.createOptional(count),
	replicas: shape.createArray(
		shape.createObject({server: text, position: quantity}),
	),
});
const template = shape.createObject({
	member: text,
	version: count,
	text,
	changeId: text,
});
const configuration = shape.createObject({version: count, text});
const configurationNotice = {version: count, source: text};
const groupView = shape.createObject({group: text, term: count});

const delta = shape.createUnion([
	shape.createObject({
		type: shape.createLiteral(['peer']),
		state: shape.createObject({
			peer: text,
			role: shape.createLiteral(['proxy', 'control']),
			address: text,
			dataCentre: text,
			incarnation: count,
			condition: shape.createLiteral(['alive', 'suspect', 'dead', 'left']),
		}),
	}),
	shape.createObject({
		type: shape.createLiteral(['announcement']),
		announcement,
	}),
	shape.createObject({
		type: shape.createLiteral(['templateVersion']),
		member: text,
		version: count,
	}),
]);
const deltas = shape.createArray(delta);

const digests = shape.createOptional(shape.createBytes(digest.digestBytes));

const change = shape.createUnion([
	shape.createObject({
		type: shape.createLiteral(['configuration']),
		configuration,
	}),
	shape.createObject({
		type: shape.isAbsent,
		member: text,
		text,
		expectedVersion: count,
		changeId: text,
	}),
]);

const peers = shape.createArray(text);
const entry = shape.createObject({
	index: count,
	term: count,
	payload: shape.createUnion([
		shape.createObject({
			type: shape.createLiteral(['command']),
			command: shape.createObject({type: text}),
		}),
		shape.createObject({
			type: shape.createLiteral(['voters']),
			voters: peers,
			learners: shape.createOptional(peers),
			joined: shape.createOptional(
				shape.createObject({
					peer: text,
					incarnation: shape.createOptional(count),
				}),
			),
		}),
		shape.createObject({type: shape.createLiteral(['noop'])}),
	]),
});
const snapshot = shape.createObject({
	index: count,
	term: count,
	voters: peers,
	learners: shape.createOptional(peers),
	joined: shape.createOptional(
		shape.createArray(
			shape.createObject({
				peer: text,
				incarnation: shape.createOptional(count),
			}),
		),
	),
	state: shape.createObject({}),
});
const vote = shape.createObject({
	term: count,
	lastIndex: count,
	lastTerm: count,
});
const voteReply = shape.createObject({term: count, granted: flag});
const joining = shape.createObject({incarnation: count});
const probe = shape.createObject({sequence: count, deltas});
const targetedProbe = shape.createObject({
	sequence: count,
	deltas,
	target: text,
});

const stream = shape.createTuple([count, count]);
const allowanceReport = shape.createObject({
	sequence: count,
	received: count,
	stream: shape.createOptional(stream),
	customers: shape.createArray(
		shape.createTuple([text, amount, amount, amount, amount]),
	),
});
const allowanceGrant = shape.createObject({
	sequence: count,
	number: count,
	stream,
	customers: shape.createArray(shape.createTuple([text, amount, amount])),
});

const shapes: Partial<Record<messages.PeerMessage['type'], shape.Shape>> = {
	hello: shape.createObject({
		peer: text,
		role: text,
		incarnation: count,
		protocol: count,
		dataCentre: shape.createOptional(text),
		region: shape.createOptional(text),
	}),
	ping: probe,
	pingRequest: targetedProbe,
	ack: targetedProbe,
	sync: shape.createObject({
		reply: flag,
		deltas,
		salt: shape.createOptional(count),
		known: digests,
		wanted: digests,
	}),
	preVote: vote,
	vote,
	preVoteReply: voteReply,
	voteReply,
	append: shape.createObject({
		term: count,
		previousIndex: count,
		previousTerm: count,
		entries: shape.createArray(entry),
		commitIndex: count,
		round: count,
		joining: shape.createOptional(count),
	}),
	appendReply: shape.createObject({
		term: count,
		success: flag,
		matchIndex: count,
		round: count,
		isStorageFull: shape.createOptional(flag),
	}),
	installSnapshot: shape.createObject({
		term: count,
		snapshot,
		round: count,
		joining: shape.createOptional(count),
	}),
	joinRequest: joining,
	joinReply: joining,
	renewLease: shape.createObject({
		sequence: count,
		dataCentre: text,
		incarnation: count,
		draining: flag,
		owned: shape.createArray(
			shape.createObject({
				server: text,
				epoch,
				writeTerm,
				stalledMs: shape.createOptional(quantity),
				answerAgeMs: shape.createOptional(quantity),
				status: shape.createOptional(status),
			}),
		),
		announcements: shape.createArray(announcement),
		templateVersions: shape.createArray(shape.createTuple([text, count])),
		configurationVersion: shape.createOptional(count),
		knownIndex: count,
		knownOwners: shape.createOptional(epoch),
		allowances: shape.createOptional(allowanceReport),
	}),
	allowanceRequest: shape.createObject({
		incarnation: count,
		report: allowanceReport,
	}),
	allowanceGranted: shape.createObject({grant: allowanceGrant}),
	leaseGranted: shape.createObject({
		sequence: count,
		durationMs: count,
		owned: shape.createArray(
			shape.createObject({server: text, epoch, writeTerm}),
		),
		groups: shape.createArray(groupView),
		ownersVersion: shape.createOptional(epoch),
		owners: shape.createArray(
			shape.createObject({server: text, owner: shape.createOptional(text)}),
		),
		templates: shape.createArray(template),
		configuration: shape.createOptional(
			shape.createObject(configurationNotice),
		),
		confirmed: shape.createArray(shape.createTuple([text, count])),
		appliedIndex: count,
		allowances: shape.createOptional(allowanceGrant),
	}),
	revokeLease: shape.createObject({server: text, epoch, scope, writeTerm}),
	leaseReleased: shape.createObject({server: text, epoch, scope, writeTerm}),
	leaderAnnounced: shape.createObject({term: count}),
	notLeader: shape.createObject({
		sequence: count,
		leader: shape.createOptional(text),
	}),
	templatePush: shape.createObject({template}),
	templateFetch: shape.createObject({member: text}),
	configurationChanged: shape.createObject(configurationNotice),
	configurationFetch: shape.createObject({version: count, offset: count}),
	configurationPart: shape.createObject({
		version: count,
		size: count,
		offset: count,
		data: shape.createBytes(1),
	}),
	configurationMissing: shape.createObject({version: count}),
	proposeChange: shape.createObject({operation: count, change}),
	changeResult: shape.createObject({
		operation: count,
		result: shape.createObject({type: text}),
		leader: shape.createOptional(text),
	}),
	readConfiguration: shape.createObject({operation: count}),
	configurationRead: shape.createObject({
		operation: count,
		result: shape.createUnion([
			shape.createObject({
				type: shape.createLiteral(['read']),
				configuration: shape.createOptional(configuration),
			}),
			shape.createObject({type: shape.createLiteral(['unavailable'])}),
		]),
	}),
};

/** Returns whether a message of a known type has the fields that its handlers rely on. */
export function hasValidShape(
	type: messages.PeerMessage['type'],
	message: unknown,
): boolean {
	return shapes[type]?.(message) ?? true;
}
