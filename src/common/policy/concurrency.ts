/**
 * How many statements an owner keeps under way at a server. A slot is free as soon as its statement
 * ends, but the owner learns of it later, and it prepares a connection in round trips that need no
 * slot. An owner in the server's data centre loses nothing by that; one in another region, as after
 * the loss of the VMs near a server, would leave the slots idle for longer than the statements run.
 */

/** The time in transit is filled with at most this many times the slots; the rest queues here. */
const maxSlotFactor = 4;

/**
 * Computes the number of statements under way that keep all slots busy.
 *
 * @param transitMs - Mean time of an execution in which it holds no slot.
 * @param slotMs - Mean time in which it holds one.
 */
export function computeConcurrency(
	slots: number,
	transitMs: number,
	slotMs: number,
): number {
	const inTransit = (slots * transitMs) / slotMs;
	return Math.min(slots * maxSlotFactor, slots + Math.round(inTransit));
}
