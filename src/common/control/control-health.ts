/**
 * Whether a control peer can serve: it knows a leader, is not draining and can store what it receives. A
 * change is reported once.
 */
import {assertNever} from '../assert-never.js';
import type * as consensus from '../consensus/types.js';
import type * as control from './types.js';

export class ControlHealth {
	#reason = '';
	#space: consensus.StorageSpace = 'sufficient';

	constructor(private readonly emit: (effect: control.ControlEffect) => void) {}

	setSpace(space: consensus.StorageSpace): void {
		this.#space = space;
	}

	/** `joinWait` says what a peer without state waits for. */
	update(
		isDraining: boolean,
		knowsLeader: boolean,
		joinWait: consensus.JoinWait | undefined,
	): void {
		const wait = joinWait && describeJoinWait(joinWait);
		const problem = isDraining
			? 'draining'
			: this.#space === 'exhausted'
				? 'disk full'
				: knowsLeader
					? undefined
					: (wait ?? 'no control leader known');
		// A peer with little space still serves; its reason tells operators that it may not for long.
		const reason =
			problem ?? (this.#space === 'low' ? 'ready, disk nearly full' : 'ready');
		if (reason !== this.#reason) {
			this.#reason = reason;
			this.emit({type: 'setHealth', ready: problem === undefined, reason});
			if (reason === wait) {
				this.emit({
					type: 'log',
					record: {level: 'warn', part: 'control', message: reason},
				});
			}
		}
	}
}

function describeJoinWait(wait: consensus.JoinWait): string {
	switch (wait.type) {
		case 'firstStart': {
			return `storage is empty; waiting for a control leader, or for reports from control peers ${wait.missingVoters.join(', ')} that theirs is empty too`;
		}

		case 'leader': {
			return 'storage is empty; waiting for a control leader that adds this peer';
		}

		default: {
			return assertNever(wait);
		}
	}
}

/** Describes the space of the storage for the log. */
export function describeSpace(space: consensus.StorageSpace): string {
	switch (space) {
		case 'sufficient': {
			return 'the disk of the data folder has space';
		}

		case 'low': {
			return 'the disk of the data folder is nearly full';
		}

		case 'exhausted': {
			return 'the disk of the data folder is full; writes are tried again until there is space';
		}

		default: {
			return assertNever(space);
		}
	}
}
