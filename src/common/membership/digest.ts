/**
 * Digests by which two peers find out which deltas the other one lacks, without sending them. A digest
 * has 32 bits. It depends on a salt, so that two deltas with equal digests differ in the next exchange.
 */
import {assertNever} from '../assert-never.js';
import type * as membership from './types.js';

export const digestBytes = 4;
const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;

/** The deltas that one side of an exchange has. */
export class DigestIndex {
	private readonly deltas = new Map<number, membership.Delta>();

	constructor(deltas: readonly membership.Delta[], salt: number) {
		for (const delta of deltas) {
			this.deltas.set(computeDigest(delta, salt), delta);
		}
	}

	/** Encodes the digests of all deltas. */
	encodeDigests(): Uint8Array {
		return encode([...this.deltas.keys()]);
	}

	/** Lists the deltas that are not among the digests of the other side. */
	listMissing(digests: Uint8Array): membership.Delta[] {
		const known = new Set(decode(digests));
		return [...this.deltas]
			.filter(([digest]) => !known.has(digest))
			.map(([, delta]) => delta);
	}

	/** Lists the deltas that the other side asks for, as far as they still exist. */
	listWanted(digests: Uint8Array): membership.Delta[] {
		return decode(digests).flatMap(
			(digest) => this.deltas.get(digest) ?? ([] as const),
		);
	}

	/** Encodes those of the other side's digests that belong to no delta here. */
	encodeUnknown(digests: Uint8Array): Uint8Array {
		return encode(decode(digests).filter((digest) => !this.deltas.has(digest)));
	}
}

function encode(digests: readonly number[]): Uint8Array {
	const bytes = new Uint8Array(digests.length * digestBytes);
	const view = new DataView(bytes.buffer);
	for (const [index, digest] of digests.entries()) {
		view.setUint32(index * digestBytes, digest);
	}

	return bytes;
}

function decode(bytes: Uint8Array): number[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	return Array.from({length: bytes.length / digestBytes}, (_, index) =>
		view.getUint32(index * digestBytes),
	);
}

/** Hashes the subject of a delta and its version (FNV-1a). */
function computeDigest(delta: membership.Delta, salt: number): number {
	const text = describeVersion(delta);
	let hash = (fnvOffset ^ salt) >>> 0;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, fnvPrime);
	}

	return hash >>> 0;
}

function describeVersion(delta: membership.Delta): string {
	switch (delta.type) {
		case 'peer': {
			const {peer, incarnation, condition} = delta.state;
			return `peer ${peer} ${incarnation} ${condition}`;
		}

		case 'announcement': {
			const {server, version} = delta.announcement;
			return `announcement ${server} ${version}`;
		}

		case 'templateVersion': {
			return `template ${delta.member} ${delta.version}`;
		}

		default: {
			return assertNever(delta);
		}
	}
}
