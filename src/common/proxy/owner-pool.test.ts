import tap from 'tap';
import type * as ids from '../ids.js';
import * as admission from '../policy/admission.js';
import * as policyTesting from '../policy/testing.js';
import * as owned from './owned-server.js';
import * as ownerPool from './owner-pool.js';

const member = 'm1' as ids.MemberId;
const server = 's1' as ids.UpstreamId;
const group = 'g1' as ids.GroupId;
const slots = 1;

function buildServer(): owned.OwnedServer {
	return new owned.OwnedServer(
		server,
		group,
		{consensusTerm: 1, counter: 1},
		{
			group,
			server,
			address: '127.0.0.1:1',
			dataCentre: 'a' as ids.DataCentre,
			role: 'primary',
			term: 1,
			position: 0,
			slots,
			connectionLimit: 25,
			departing: false,
			startedAt: 0,
		},
		new admission.ServerAdmissionScheduler({
			slots,
			getParameters: () => policyTesting.buildParameters(),
		}),
	);
}

function buildRequest(): owned.OwnerRequest {
	return {
		origin: 'p1' as ids.PeerId,
		request: {
			type: 'forwardRequest',
			attempt: 1 as ids.AttemptId,
			session: 1 as ids.SessionId,
			member,
			group,
			server,
			rank: 'normal',
			kind: 'read',
			deadlineMs: 1000,
			stalenessMs: 0,
			templateVersion: 1,
			payload: {frames: new Uint8Array()},
		},
		deadlineAt: 1000,
		arrivedAt: 0,
		isAbandoned: false,
	};
}

// Guards against a slot that counts as used for ever, after a request was cancelled or its session
// ended while it waited for a connection.
tap.test('a removed request gives back its slot', async (t) => {
	const owner = buildServer();
	const item = buildRequest();
	const queued = {
		member,
		rank: item.request.rank,
		enqueuedAt: 0,
		deadlineAt: item.deadlineAt,
		item,
	};
	owner.scheduler.offer(queued, 0);
	owner.connectionQueue.push(owner.scheduler.take(0)!);
	t.ok(owner.scheduler.estimateWait('normal', 0) > 0);
	t.ok(ownerPool.removeFromQueues(owner, item, 0));
	t.equal(owner.scheduler.estimateWait('normal', 0), 0);
});
