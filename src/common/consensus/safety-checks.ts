/**
 * The safety properties of the replicated log, checked while a simulation runs.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';

/** State of the simulated state machine: a digest of the applied entries. */
export type MachineState = {
	readonly index: number;
	readonly digest: number;
};

export const initialMachineState: MachineState = {index: 0, digest: 0};

type Peer = {
	readonly id: ids.PeerId;
	readonly machine: MachineState;
	readonly process:
		{readonly lastIndex: number; readonly term: number} | undefined;
};

/** A safety property did not hold. */
export class SafetyViolation extends Error {
	override readonly name = 'SafetyViolation';
}

/** Records the effects of all peers and throws a `SafetyViolation` when they contradict each other. */
export class SafetyChecks {
	/** Digest of the applied entries up to each index. */
	readonly #digests = new Map<number, number>([[0, 0]]);
	readonly #leaders = new Map<number, ids.PeerId>();
	readonly #appliedCommands = new Set<number>();
	readonly #notRunProposals = new Set<number>();
	/**
	 * For each term, the highest index that a peer in this term was the first to apply; the entry was
	 * committed in this term or an earlier one.
	 */
	readonly #highestIndexes = new Map<number, number>();
	#highestIndex = 0;

	/** Number of distinct commands that were applied. */
	get appliedCount(): number {
		return this.#appliedCommands.size;
	}

	get highestIndex(): number {
		return this.#highestIndex;
	}

	/** Checks that the applied sequences have no gaps and are prefixes of one another. */
	checkApplied(
		peer: Peer,
		effect: Extract<types.ConsensusEffect<number>, {type: 'applied'}>,
		now: number,
	): MachineState {
		const {entry, proposal} = effect;
		if (entry.index !== peer.machine.index + 1) {
			throw new SafetyViolation(
				`${now}: ${peer.id} applied entry ${entry.index} directly after entry ${peer.machine.index}`,
			);
		}

		const digest = computeDigest(peer.machine.digest, entry);
		const known = this.#digests.get(entry.index);
		if (known !== undefined && known !== digest) {
			throw new SafetyViolation(
				`${now}: ${peer.id} applied another entry at ${entry.index}`,
			);
		}

		this.#digests.set(entry.index, digest);
		if (entry.index > this.#highestIndex) {
			this.#highestIndex = entry.index;
			this.#highestIndexes.set(peer.process!.term, entry.index);
		}

		this.#recordCommand(entry, proposal, now);
		return {index: entry.index, digest};
	}

	/** Checks that a snapshot results from the same sequence as the log. */
	checkRestored(snapshot: types.Snapshot, now: number): MachineState {
		const machine = snapshot.state as MachineState;
		if (
			machine.index !== snapshot.index ||
			this.#digests.get(machine.index) !== machine.digest
		) {
			throw new SafetyViolation(
				`${now}: the snapshot at ${snapshot.index} does not match the applied entries`,
			);
		}

		return machine;
	}

	/** Checks that a proposal that is reported as not run is never applied. */
	checkProposalLost(
		effect: Extract<types.ConsensusEffect, {type: 'proposalLost'}>,
		now: number,
	): void {
		if (!effect.mayHaveRun) {
			this.#notRunProposals.add(effect.proposal);
			if (this.#appliedCommands.has(effect.proposal)) {
				throw new SafetyViolation(
					`${now}: proposal ${effect.proposal} was applied but reported as not run`,
				);
			}
		}
	}

	/** Checks that a term has one leader, whose log reaches the last entry committed in earlier terms. */
	checkRoleChange(
		peer: Peer,
		effect: Extract<types.ConsensusEffect, {type: 'roleChanged'}>,
		now: number,
	): void {
		if (effect.role !== 'leader') {
			return;
		}

		const known = this.#leaders.get(effect.term);
		if (known !== undefined && known !== peer.id) {
			throw new SafetyViolation(
				`${now}: ${known} and ${peer.id} both lead term ${effect.term}`,
			);
		}

		this.#leaders.set(effect.term, peer.id);
		const earlier = [...this.#highestIndexes].filter(
			([term]) => term < effect.term,
		);
		const committed = Math.max(0, ...earlier.map(([, index]) => index));
		if (peer.process!.lastIndex < committed) {
			throw new SafetyViolation(
				`${now}: ${peer.id} leads term ${effect.term} without committed entries`,
			);
		}
	}

	/** Checks that at most one peer may act as leader. */
	checkLeases(holders: readonly Peer[], now: number): void {
		if (holders.length > 1) {
			const names = holders.map(({id}) => id).join(' and ');
			throw new SafetyViolation(`${now}: ${names} both hold a valid lease`);
		}
	}

	#recordCommand(
		{payload, index}: types.LogEntry<number>,
		proposal: number | undefined,
		now: number,
	): void {
		if (payload.type !== 'command') {
			return;
		}

		const isWrong =
			this.#notRunProposals.has(payload.command) ||
			(proposal !== undefined && proposal !== payload.command);
		if (isWrong) {
			throw new SafetyViolation(
				`${now}: entry ${index} was reported with a wrong outcome`,
			);
		}

		this.#appliedCommands.add(payload.command);
	}
}

/** Mixes an entry into a digest (FNV-1a over its text). */
function computeDigest(previous: number, entry: types.LogEntry): number {
	let digest = (previous ^ 0x81_1c_9d_c5) >>> 0;
	const text = JSON.stringify([entry.index, entry.term, entry.payload]);
	for (let position = 0; position < text.length; position++) {
		digest =
			Math.imul(digest ^ text.codePointAt(position)!, 0x01_00_01_93) >>> 0;
	}

	return digest;
}
