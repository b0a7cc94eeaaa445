/**
 * The sessions that hold a connection at this owner, for a transaction or for session state.
 */
import type * as ids from '../ids.js';
import type * as context from './context.js';
import type * as owned from './owned-server.js';

export class BindingTable {
	private readonly bindings = new Map<string, owned.ConnectionBinding>();

	constructor(private readonly context: context.ProxyContext) {}

	findBinding(
		origin: ids.PeerId,
		session: ids.SessionId,
	): owned.ConnectionBinding | undefined {
		return this.bindings.get(makeSessionKey(origin, session));
	}

	/** True when the session of a request holds a connection. */
	hasBinding(item: owned.OwnerRequest): boolean {
		return this.findBinding(item.origin, item.request.session) !== undefined;
	}

	/** Binds the session of a request to the connection that ran it. */
	add(
		item: owned.OwnerRequest,
		connection: owned.Connection,
	): owned.ConnectionBinding {
		const {origin, request} = item;
		const binding: owned.ConnectionBinding = {
			key: makeSessionKey(origin, request.session),
			origin,
			session: request.session,
			connection,
			pinned: false,
			inTransaction: false,
			readOnly: request.kind === 'beginReadOnly',
		};
		connection.binding = binding;
		this.bindings.set(binding.key, binding);
		return binding;
	}

	remove(binding: owned.ConnectionBinding): void {
		this.bindings.delete(binding.key);
		binding.connection.binding = undefined;
	}

	/** Removes a binding whose connection is gone; the entry learns that nothing of it remains. */
	removeAndNotify(
		server: owned.OwnedServer,
		binding: owned.ConnectionBinding,
	): void {
		this.remove(binding);
		this.context.send(binding.origin, {
			type: 'forwardUnbound',
			session: binding.session,
			server: server.server,
		});
	}

	/** The bound sessions of one entry. */
	listSessions(origin: ids.PeerId): ids.SessionId[] {
		return [...this.bindings.values()]
			.filter((binding) => binding.origin === origin)
			.map((binding) => binding.session);
	}
}

function makeSessionKey(origin: ids.PeerId, session: ids.SessionId): string {
	return `${origin}/${session}`;
}
