/**
 * How texts are packed for the exchange between peers. The packing of a process is injected, because
 * this layer uses no library; without one, texts are sent as they are.
 */
import type * as types from './types.js';

export const plainPacking: types.TextPacking = {
	pack: (text) => new TextEncoder().encode(text),
	unpack: (bytes) => new TextDecoder().decode(bytes),
};
