/**
 * Which control peer hands the configuration to a proxy: a voter of its data centre, because copies
 * between data centres cost more, otherwise one of the voters in turn.
 */
import type * as ids from '../ids.js';

export type Holder = {
	readonly peer: ids.PeerId;
	readonly dataCentre: ids.DataCentre;
};

/**
 * Chooses among the control peers that hold the replicated log.
 *
 * @returns Undefined when there is none.
 */
export function chooseHolder(
	proxy: ids.PeerId,
	dataCentre: ids.DataCentre,
	holders: readonly Holder[],
): ids.PeerId | undefined {
	const near = holders.filter((holder) => holder.dataCentre === dataCentre);
	const candidates = near.length > 0 ? near : holders;
	return candidates[computeHash(proxy) % Math.max(1, candidates.length)]?.peer;
}

/** Distributes proxies over candidates alike at every leader. */
function computeHash(text: string): number {
	let hash = 0;
	for (const character of text) {
		hash = (hash * 31 + character.codePointAt(0)!) >>> 0;
	}

	return hash;
}
