/**
 * Sessions that are bound to a connection of this owner, by a transaction or by session state. A binding
 * is identified by the attempt that made it, so that a request never runs in another transaction of its
 * session, or in one of an earlier instance of its entry, whose sessions have the same numbers.
 */
import type * as ids from '../ids.js';
import type * as context from './context.js';
import type * as owned from './owned-server.js';

export class BindingTable {
	private readonly bindings = new Map<string, owned.ConnectionBinding>();

	constructor(private readonly context: context.ProxyContext) {}

	/** Finds the binding that a request names, if it belongs to the customer of the request. */
	findBinding({
		origin,
		request,
	}: owned.OwnerRequest): owned.ConnectionBinding | undefined {
		const binding =
			request.binding === undefined
				? undefined
				: this.bindings.get(makeBindingKey(origin, request.binding));
		return binding?.connection.customer === request.customer
			? binding
			: undefined;
	}

	/** Binds the session of a request to the connection that ran it. */
	add(
		ownerRequest: owned.OwnerRequest,
		connection: owned.Connection,
	): owned.ConnectionBinding {
		const {origin, request} = ownerRequest;
		const binding: owned.ConnectionBinding = {
			id: request.attempt,
			origin,
			session: request.session,
			connection,
			pinned: false,
			inTransaction: false,
			readOnly: request.kind === 'beginReadOnly',
		};
		connection.binding = binding;
		this.bindings.set(makeBindingKey(origin, binding.id), binding);
		return binding;
	}

	remove(binding: owned.ConnectionBinding): void {
		this.bindings.delete(makeBindingKey(binding.origin, binding.id));
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
			binding: binding.id,
			server: server.server,
		});
	}

	/** Lists the bindings of an entry. */
	listBindings(origin: ids.PeerId): owned.ConnectionBinding[] {
		return [...this.bindings.values()].filter(
			(binding) => binding.origin === origin,
		);
	}
}

function makeBindingKey(origin: ids.PeerId, id: ids.AttemptId): string {
	return `${origin}/${id}`;
}
