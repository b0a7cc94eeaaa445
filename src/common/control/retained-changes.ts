/**
 * Answered changes of templates, oldest first. A change that is sent again gets its first answer as long as
 * it is kept. The number of answers and the size of their texts are bounded; the text of an old version is
 * dropped before its answer.
 */
import type * as ids from '../ids.js';
import * as textSize from '../text-size.js';
import type * as control from './types.js';

/**
 * Maximum number of answered changes that are kept, over all members. A change that is sent again
 * within this many later changes gets its first answer; at 1,700 changes a day that covers six days.
 */
export const maxRetainedChanges = 10_240;

/** Maximum size of the kept texts, in bytes; the same at all peers, which must hold the same state. */
export const maxRetainedTextBytes = 2 * 1024 * 1024;

export class RetainedChanges {
	/** In the order of the log, so that the first key is the oldest. */
	readonly #changes = new Map<string, control.AnsweredChange>();
	/** The keys of the changes whose text is kept, oldest first. */
	readonly #keysWithText = new Set<string>();
	#textBytes = 0;

	get size(): number {
		return this.#changes.size;
	}

	/** Replaces all changes by those of a snapshot. */
	restore(changes: readonly control.AnsweredChange[]): void {
		this.#changes.clear();
		this.#keysWithText.clear();
		this.#textBytes = 0;
		for (const change of changes) {
			this.#store(change);
		}
	}

	/** Adds the newest change and drops what exceeds the limits. */
	add(change: control.AnsweredChange): void {
		this.#store(change);
		for (const key of this.#keysWithText) {
			if (this.#textBytes <= maxRetainedTextBytes) {
				break;
			}

			this.#dropText(key);
		}

		for (const key of this.#changes.keys()) {
			if (this.#changes.size <= maxRetainedChanges) {
				break;
			}

			this.#dropText(key);
			this.#changes.delete(key);
		}
	}

	findChange(
		member: ids.MemberId,
		changeId: ids.ChangeId,
	): control.AnsweredChange | undefined {
		return this.#changes.get(buildKey(member, changeId));
	}

	/** Oldest first. */
	list(): control.AnsweredChange[] {
		return [...this.#changes.values()];
	}

	#store(change: control.AnsweredChange): void {
		const key = buildKey(change.member, change.changeId);
		this.#changes.set(key, change);
		if (change.text !== undefined) {
			this.#keysWithText.add(key);
			this.#textBytes += textSize.countBytes(change.text);
		}
	}

	#dropText(key: string): void {
		const change = this.#changes.get(key);
		if (change?.text !== undefined) {
			const {text, ...rest} = change;
			this.#changes.set(key, rest);
			this.#keysWithText.delete(key);
			this.#textBytes -= textSize.countBytes(text);
		}
	}
}

function buildKey(member: ids.MemberId, changeId: ids.ChangeId): string {
	return JSON.stringify([member, changeId]);
}
