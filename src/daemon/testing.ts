/**
 * The cluster of real processes that the quickstart starts, for tests.
 */
import type * as childProcess from 'node:child_process';

type Status = Readonly<{
	inFlight: number;
	owned: ReadonlyArray<Readonly<{server: string; writeTerm?: number}>>;
}>;

export type Cluster = Readonly<{
	folder: string;
	children: Map<string, childProcess.ChildProcess>;
	ports: Map<string, Readonly<Record<string, number>>>;
	start(): Promise<void>;
	kill(name: string): Promise<void>;
	releasePorts(): Promise<void>;
	signal(name: string, signal: NodeJS.Signals): void;
	startDaemon(name: string): void;
	startStandIn(
		index: number,
		primaryPort: number,
		primary: string,
	): Promise<unknown>;
	isReady(name: string): Promise<boolean>;
	readStatus(name: string): Promise<Status>;
}>;

type QuickstartModule = Readonly<{
	Cluster: new (options: object) => Cluster;
	waitFor<T>(
		description: string,
		timeoutMs: number,
		check: () => Promise<T>,
	): Promise<T>;
}>;

export async function loadQuickstart(): Promise<QuickstartModule> {
	// With a string literal, the compiler would require type declarations of the script.
	const modulePath = ['../..', 'scripts/quickstart/cluster.mjs'].join('/');
	return (await import(modulePath)) as QuickstartModule;
}
