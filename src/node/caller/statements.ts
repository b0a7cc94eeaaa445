/**
 * The prepared statements and portals of one session. A caller's statement names are replaced by
 * names that are unique in the whole installation, because sessions of all proxies share the server
 * connections.
 */
import {Buffer} from 'node:buffer';
import * as messages from '../wire/messages.js';
import type * as types from './types.js';

/** Characters of the portal names of one session. */
const maxPortalCharacters = 64 * 1024;

/** A statement that the caller prepared. */
export class Statement {
	/** Size of the Parse frame in bytes. */
	readonly size: number;
	#frame: Buffer;
	/** Name in the frame, which is the caller's until the frame is first sent. */
	#frameName: string;

	constructor(
		/** Name under which servers know the statement. */
		readonly wireName: string,
		readonly statementClass: types.StatementClass,
		frame: Buffer,
		name: string,
	) {
		this.size = frame.length;
		this.#frame = frame;
		this.#frameName = name;
	}

	/** The Parse frame with `wireName`, which replaces that of the caller on first use. */
	get parse(): Buffer {
		if (this.#frameName !== this.wireName) {
			this.#frame = rewriteName(this.#frame, 5, this.#frameName, this.wireName);
			this.#frameName = this.wireName;
		}

		return this.#frame;
	}
}

/** Builds a copy of a frame with the statement name at `offset` replaced. */
export function rewriteName(
	frame: Buffer,
	offset: number,
	oldName: string,
	newName: string,
): Buffer {
	return messages.buildMessage(frame[0], [
		frame.subarray(5, offset),
		newName,
		frame.subarray(offset + Buffer.byteLength(oldName)),
	]);
}

/** Statements by the caller's name; the empty name is the unnamed statement. */
export class StatementTable {
	readonly #statements = new Map<string, Statement>();
	/** Class of each portal's statement, for Execute in a later request. */
	readonly #portals = new Map<string, types.StatementClass>();
	readonly #prefix: string;
	readonly #maxStatements: number;
	readonly #maxBytes: number;
	/** Bytes of all Parse frames. */
	#totalBytes = 0;
	#portalCharacters = 0;
	#lastNumber = 0;

	constructor(prefix: string, maxStatements: number, maxBytes: number) {
		this.#prefix = prefix;
		this.#maxStatements = maxStatements;
		this.#maxBytes = maxBytes;
	}

	/** Bytes of the statements and names, with the copies in the requests that declare them. */
	get size(): number {
		return 2 * (this.#totalBytes + this.#portalCharacters);
	}

	/** Stores a Parse frame; undefined when the session has too many statements or too many bytes. */
	add(
		name: string,
		frame: Buffer,
		statementClass: types.StatementClass,
	): Statement | undefined {
		const size =
			this.#totalBytes - (this.#statements.get(name)?.size ?? 0) + frame.length;
		const isFull =
			this.#statements.size >= this.#maxStatements &&
			!this.#statements.has(name);
		if (isFull || size > this.#maxBytes) {
			return undefined;
		}

		this.#lastNumber++;
		const statement = new Statement(
			`${this.#prefix}_${this.#lastNumber}`,
			statementClass,
			frame,
			name,
		);
		this.#totalBytes = size;
		this.#statements.set(name, statement);
		return statement;
	}

	get(name: string): Statement | undefined {
		return this.#statements.get(name);
	}

	clear(): void {
		this.#statements.clear();
		this.#totalBytes = 0;
	}

	remove(name: string): void {
		this.#totalBytes -= this.#statements.get(name)?.size ?? 0;
		this.#statements.delete(name);
	}

	/** A name that no server knows; its use fails with SQLSTATE 26000. */
	get unknownName(): string {
		return `${this.#prefix}_missing`;
	}

	setPortal(name: string, statementClass: types.StatementClass): void {
		if (
			this.#portals.size >= this.#maxStatements ||
			this.#portalCharacters > maxPortalCharacters
		) {
			this.#portals.clear();
			this.#portalCharacters = 0;
		}

		this.#portalCharacters += this.#portals.has(name) ? 0 : name.length;
		this.#portals.set(name, statementClass);
	}

	getPortal(name: string): types.StatementClass | undefined {
		return this.#portals.get(name);
	}
}
