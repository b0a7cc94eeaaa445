/**
 * Packs texts with zlib, whose checksum shows damage. Configurations repeat the names of their fields
 * in every route and shrink to about a tenth.
 */
import * as zlib from 'node:zlib';
import type * as types from '../common/types.js';

/** Bound for what a few damaged bytes can expand to. */
const maxTextBytes = 64 * 1024 * 1024;

export const zlibPacking: types.TextPacking = {
	pack: (text) => zlib.deflateSync(text),
	unpack(bytes) {
		try {
			return zlib
				.inflateSync(bytes, {maxOutputLength: maxTextBytes})
				.toString('utf8');
		} catch {
			return undefined;
		}
	},
};
