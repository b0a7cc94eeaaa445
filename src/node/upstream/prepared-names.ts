/**
 * The statement names that a connection has, least recently used first.
 */
import type * as executions from './execution.js';

export class PreparedNames {
	readonly #names = new Set<string>();

	get names(): ReadonlySet<string> {
		return this.#names;
	}

	clear(): void {
		this.#names.clear();
	}

	/** Follows what an answered request did to the set. */
	update(execution: executions.Execution): void {
		const {effect, plan} = execution;
		if (effect.kind === 'read' && plan.bytes.length === 1) {
			const usesNames =
				plan.created.length + plan.removed.length > 0 ||
				effect.payload.prepared !== undefined;
			if (!usesNames) {
				return;
			}
		}

		if (effect.kind === 'sessionState') {
			// The request may have removed statements, as DISCARD ALL and DEALLOCATE do.
			this.#names.clear();
			return;
		}

		for (const name of plan.removed) {
			this.#names.delete(name);
		}

		if (!execution.hasSucceeded) {
			for (const name of plan.created) {
				this.#names.delete(name);
			}

			return;
		}

		for (const {name} of effect.payload.prepared ?? []) {
			this.#names.delete(name);
			this.#names.add(name);
		}

		for (const name of plan.created) {
			this.#names.add(name);
		}
	}
}
