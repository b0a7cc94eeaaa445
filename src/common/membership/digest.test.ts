import tap from 'tap';
import type * as ids from '../ids.js';
import * as digest from './digest.js';
import type * as membership from './types.js';

function createDeltas(names: readonly string[]): membership.Delta[] {
	return names.map((name) => ({
		type: 'templateVersion',
		member: name as ids.MemberId,
		version: 1,
	}));
}

// Guards against views that stay different after an exchange.
tap.test('both sides find out what the other one lacks', async (t) => {
	const salt = 5;
	const [left, right] = [
		['a', 'b', 'c'],
		['b', 'd'],
	].map((names) => new digest.DigestIndex(createDeltas(names), salt));
	const known = left.encodeDigests();
	t.same(right.listMissing(known), createDeltas(['d']));
	const wanted = right.encodeUnknown(known);
	t.same(left.listWanted(wanted), createDeltas(['a', 'c']));
});

// Guards against two deltas that are taken for each other in every exchange.
tap.test('digests depend on the salt', async (t) => {
	const [first, second] = [1, 2].map((salt) =>
		new digest.DigestIndex(createDeltas(['a']), salt).encodeDigests(),
	);
	t.notSame(first, second);
});
