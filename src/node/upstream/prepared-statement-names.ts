/**
 * The names of the prepared statements of one connection, least recently used first.
 */
import type * as executions from './execution.js';

export class PreparedStatementNames {
	readonly #names = new Set<string>();

	get names(): ReadonlySet<string> {
		return this.#names;
	}

	clear(): void {
		this.#names.clear();
	}

	/** Updates the set after an execution. */
	update(execution: executions.Execution): void {
		const {effect, plan} = execution;
		if (effect.kind === 'read' && plan.bytes.length === 1) {
			// Fast path: a read that neither uses, creates nor removes statements changes nothing.
			const usesStatements =
				plan.createdNames.length + plan.removedNames.length > 0 ||
				effect.payload.prepared !== undefined;
			if (!usesStatements) {
				return;
			}
		}

		if (effect.kind === 'sessionState') {
			// The request may have removed statements, as DISCARD ALL and DEALLOCATE do.
			this.#names.clear();
			return;
		}

		for (const name of plan.removedNames) {
			this.#names.delete(name);
		}

		if (!execution.hasSucceeded) {
			for (const name of plan.createdNames) {
				this.#names.delete(name);
			}

			return;
		}

		for (const {name} of effect.payload.prepared ?? []) {
			this.#names.delete(name);
			this.#names.add(name);
		}

		for (const name of plan.createdNames) {
			this.#names.add(name);
		}
	}
}
