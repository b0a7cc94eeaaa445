/**
 * Sessions that are bound to a connection of this owner, by a transaction or by session state.
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

	/** True when the session of the request is bound to a connection. */
	hasBinding(ownerRequest: owned.OwnerRequest): boolean {
		return (
			this.findBinding(ownerRequest.origin, ownerRequest.request.session) !==
			undefined
		);
	}

	/** Binds the session of a request to the connection that ran it. */
	add(
		ownerRequest: owned.OwnerRequest,
		connection: owned.Connection,
	): owned.ConnectionBinding {
		const {origin, request} = ownerRequest;
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

	/** Removes a binding whose transaction or connection was lost, and tells its entry. */
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

	/** Lists the bound sessions of an entry. */
	listSessions(origin: ids.PeerId): ids.SessionId[] {
		return [...this.bindings.values()]
			.filter((binding) => binding.origin === origin)
			.map((binding) => binding.session);
	}
}

function makeSessionKey(origin: ids.PeerId, session: ids.SessionId): string {
	return `${origin}/${session}`;
}
