/**
 * The commit index of one peer, and the effects that advance its state machine to it.
 */
import type * as types from './types.js';
import type * as log from './log.js';

/** Emits committed entries in order and exactly once. */
export class CommitTracker<Command> {
	readonly #log: log.Log<Command>;
	#commitIndex: number;
	#appliedIndex: number;

	/** The state machine starts from the stored snapshot. */
	constructor(source: log.Log<Command>) {
		this.#log = source;
		this.#commitIndex = source.baseIndex;
		this.#appliedIndex = source.baseIndex;
	}

	get commitIndex(): number {
		return this.#commitIndex;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/**
	 * Raises the commit index; a lower one is ignored.
	 *
	 * @param index - The new commit index.
	 * @param takeProposal - Removes and returns the proposal of this peer that became an entry.
	 */
	advanceCommitIndex(
		index: number,
		takeProposal: (index: number) => number | undefined,
	): Array<types.ConsensusEffect<Command>> {
		const effects: Array<types.ConsensusEffect<Command>> = [];
		if (index <= this.#commitIndex) {
			return effects;
		}

		this.#commitIndex = index;
		const {snapshot} = this.#log;
		if (snapshot && snapshot.index > this.#appliedIndex) {
			this.#appliedIndex = snapshot.index;
			effects.push({type: 'restore', snapshot});
		}

		while (this.#appliedIndex < index) {
			this.#appliedIndex++;
			const entry = this.#log.getEntry(this.#appliedIndex)!;
			const proposal = takeProposal(this.#appliedIndex);
			effects.push({
				type: 'applied',
				entry,
				...(proposal === undefined ? {} : {proposal}),
			});
		}

		return effects;
	}
}
