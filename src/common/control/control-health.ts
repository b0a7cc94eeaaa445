/**
 * Whether a control peer can serve: it knows a leader and is not draining. A change is reported once.
 */
import type * as control from './types.js';

export class ControlHealth {
	#reason = '';

	constructor(private readonly emit: (effect: control.ControlEffect) => void) {}

	update(isDraining: boolean, knowsLeader: boolean): void {
		const isReady = !isDraining && knowsLeader;
		const reason = isDraining
			? 'draining'
			: isReady
				? 'ready'
				: 'no control leader known';
		if (reason !== this.#reason) {
			this.#reason = reason;
			this.emit({type: 'setHealth', ready: isReady, reason});
		}
	}
}
