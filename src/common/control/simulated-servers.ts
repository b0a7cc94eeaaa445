/**
 * Creates the servers of a simulated group, with fences or as servers that acknowledge commits themselves.
 */
import type * as ids from '../ids.js';
import * as fakeServers from './fake-server.js';
import * as selfAcknowledging from './self-acknowledging-servers.js';

export type SimulatedServers = {
	readonly servers: fakeServers.FakeServer[];
	/** The servers as a group that acknowledges commits itself; undefined for servers with fences. */
	readonly group: selfAcknowledging.SelfAcknowledgingServers | undefined;
};

/** Creates the servers s1 to s`count` in the data centres d1 to d3; s1 is the primary of term 1. */
export function createServers(
	count: number,
	synchronousReplicas: number | undefined,
	environment: selfAcknowledging.SelfAcknowledgingEnvironment,
): SimulatedServers {
	const indexes = Array.from({length: count}, (_, index) => index);
	if (synchronousReplicas === undefined) {
		const servers = indexes.map((index) =>
			createServer(fakeServers.FakeServer, index),
		);
		return {servers, group: undefined};
	}

	const servers = indexes.map((index) =>
		createServer(selfAcknowledging.SelfAcknowledgingServer, index),
	);
	const group = new selfAcknowledging.SelfAcknowledgingServers(
		servers,
		synchronousReplicas,
		environment,
	);
	return {servers, group};
}

function createServer<Server extends fakeServers.FakeServer>(
	ServerClass: new (
		...parameters: ConstructorParameters<typeof fakeServers.FakeServer>
	) => Server,
	index: number,
): Server {
	return new ServerClass(
		`s${index + 1}` as ids.UpstreamId,
		`d${(index % 3) + 1}` as ids.DataCentre,
		index === 0 ? undefined : ('s1' as ids.UpstreamId),
	);
}
