/**
 * Digests under which the product knows the keys of customers.
 */
import * as crypto from 'node:crypto';
import type * as ids from '../common/ids.js';

/** Computes the SHA-256 digest of a key, in base64. Keys are random, so the digest needs no salt. */
export function computeKeyDigest(key: string): ids.KeyDigest {
	return crypto
		.createHash('sha256')
		.update(key, 'utf8')
		.digest('base64') as ids.KeyDigest;
}
