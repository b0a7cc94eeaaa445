/**
 * Branded identifiers. A brand keeps an id of one kind from being passed where another kind is
 * expected; at run time the ids are plain strings or numbers.
 */

declare const brand: unique symbol;

/** A string or number that carries the compile-time tag `Tag`. */
export type Branded<Value, Tag extends string> = Value & {
	readonly [brand]: Tag;
};

/** A cluster participant: a proxy or control process. */
export type PeerId = Branded<string, 'PeerId'>;
/** A virtual machine that runs peers. */
export type VmId = Branded<string, 'VmId'>;
/** A data centre. */
export type DataCentre = Branded<string, 'DataCentre'>;
/** A customer. */
export type MemberId = Branded<string, 'MemberId'>;
/** A customer that identifies itself with keys, on whatever route its requests arrive. */
export type CustomerId = Branded<string, 'CustomerId'>;
/** The digest of a customer's key. Keys themselves stay in the adapter that reads them. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** A database group: one primary and its replicas. */
export type GroupId = Branded<string, 'GroupId'>;
/** A database server; unique in the whole installation. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** A caller's session on one entry proxy. */
export type SessionId = Branded<number, 'SessionId'>;
/** A request of a caller, unique within its entry proxy. */
export type RequestId = Branded<number, 'RequestId'>;
/** One attempt to execute a request, unique within all instances of its entry proxy. */
export type AttemptId = Branded<number, 'AttemptId'>;
/** A connection of an owner to a server, unique within the owner process. */
export type ConnectionId = Branded<number, 'ConnectionId'>;
/** The identity of a template change; a retry carries the same id. */
export type ChangeId = Branded<string, 'ChangeId'>;
