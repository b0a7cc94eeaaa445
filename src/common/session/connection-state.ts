/**
 * Session values and prepared statements of a server connection that sessions share, and the setup
 * steps that bring it to the state that the next request requires. Prepared statements are named by
 * their definition, so sessions that prepare the same statement share it.
 */

/** Limit of prepared statements per connection; the connection is reset before it is exceeded. */
const maxPreparedStatements = 128;

/** A step that brings a connection to the state that the next request requires. */
export type SetupStep =
	/** Clears session values and prepared statements. */
	| {readonly type: 'reset'}
	| {readonly type: 'set'; readonly name: string; readonly value: string}
	| {readonly type: 'prepare'; readonly name: string};

/** State that a request requires of its connection. */
export type ConnectionRequirements = {
	readonly values: ReadonlyArray<readonly [name: string, value: string]>;
	/** Name of the prepared statement on the connection. */
	readonly prepared: string | undefined;
};

export class ConnectionState {
	private readonly values = new Map<string, string>();
	private readonly prepared = new Set<string>();

	/** Lists the steps from the current state to the required one. */
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

	/**
	 * Estimates how many statements a request costs on this connection beside its own: those of the
	 * setup, and those that prepare again what a reset discards. A value under a new name counts like a
	 * reset, because sessions without that value need one later.
	 */
	estimateSetupCost(needs: ConnectionRequirements): number {
		const changesNames =
			this.values.size !== needs.values.length ||
			needs.values.some(([name]) => !this.values.has(name));
		return (
			this.listSetupSteps(needs).length +
			(changesNames ? this.prepared.size : 0)
		);
	}

	/** Applies a step that the server has confirmed. */
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

	/** Removes a prepared statement that the server does not know. */
	removePreparedStatement(name: string): void {
		this.prepared.delete(name);
	}
}
