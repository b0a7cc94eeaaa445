/**
 * What a server connection holds for the sessions that share it, and the statements that bring it
 * to what the next session needs. Prepared statements are named by their definition, so sessions
 * that prepare the same statement share it.
 */

/** Prepared statements of one connection; beyond them the connection is reset. */
const maxPreparedStatements = 128;

/** A statement that prepares a connection for the next request. */
export type SetupStep =
	/** Clears session values and prepared statements. */
	| {readonly type: 'reset'}
	| {readonly type: 'set'; readonly name: string; readonly value: string}
	| {readonly type: 'prepare'; readonly name: string};

/** What a request needs of its connection. */
export type ConnectionRequirements = {
	readonly values: ReadonlyArray<readonly [name: string, value: string]>;
	/** Name of the prepared statement on the connection. */
	readonly prepared: string | undefined;
};

export class ConnectionState {
	private readonly values = new Map<string, string>();
	private readonly prepared = new Set<string>();

	/** Lists the steps from the present state to what a request needs. */
	listSetupSteps(needs: ConnectionRequirements): SetupStep[] {
		const wanted = new Map(needs.values);
		const isNewStatement =
			needs.prepared !== undefined && !this.prepared.has(needs.prepared);
		const needsReset =
			[...this.values.keys()].some((name) => !wanted.has(name)) ||
			(isNewStatement && this.prepared.size >= maxPreparedStatements);
		const steps: SetupStep[] = needsReset ? [{type: 'reset'}] : [];
		for (const [name, value] of wanted) {
			if (needsReset || this.values.get(name) !== value) {
				steps.push({type: 'set', name, value});
			}
		}

		if (needs.prepared !== undefined && (isNewStatement || needsReset)) {
			steps.push({type: 'prepare', name: needs.prepared});
		}

		return steps;
	}

	/** Takes over the effect of a step that the server has confirmed. */
	apply(step: SetupStep): void {
		switch (step.type) {
			case 'reset': {
				this.values.clear();
				this.prepared.clear();
				return;
			}

			case 'set': {
				this.values.set(step.name, step.value);
				return;
			}

			case 'prepare': {
				this.prepared.add(step.name);
			}
		}
	}

	/** Forgets a prepared statement that the server does not know. */
	removePreparedStatement(name: string): void {
		this.prepared.delete(name);
	}
}
