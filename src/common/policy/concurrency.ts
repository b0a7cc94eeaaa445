/**
 * Number of statements that an owner keeps in flight at a server. A slot is free as soon as its
 * statement ends, but the owner learns of it later, and connection setup takes round trips that
 * hold no slot. This costs an owner in the server's data centre nothing. An owner in another
 * region, as after the loss of the VMs near a server, would leave the slots idle for longer than
 * the statements run.
 */

/** Limit of the statements in flight, as a multiple of the slots; others queue at the owner. */
const maxConcurrencyPerSlot = 4;

/**
 * Computes the number of statements in flight that keeps all slots busy.
 *
 * @param transitMs - Mean time that an execution spends without a slot.
 * @param serviceMs - Mean time that it holds a slot.
 */
export function computeConcurrency(
	slots: number,
	transitMs: number,
	serviceMs: number,
): number {
	const inTransit = (slots * transitMs) / serviceMs;
	return Math.min(slots * maxConcurrencyPerSlot, slots + Math.round(inTransit));
}
