/**
 * The prepared statements and portals of one session. A caller's statement names become names that
 * are unique in the whole installation, because sessions of all proxies share the connections.
 */
import {Buffer} from 'node:buffer';
import * as messages from '../wire/messages.js';
import type * as types from './types.js';

/** A statement that the caller prepared. */
export class Statement {
	#parse: Buffer | undefined;
	readonly #frame: Buffer;
	readonly #name: string;

	constructor(
		/** Name towards the servers. */
		readonly wireName: string,
		readonly statementClass: types.StatementClass,
		frame: Buffer,
		name: string,
	) {
		this.#frame = frame;
		this.#name = name;
	}

	/** Size of the Parse frame in bytes. */
	get size(): number {
		return this.#frame.length;
	}

	/** The Parse frame under `wireName`; built once it is needed. */
	get parse(): Buffer {
		this.#parse ??= rewriteName(this.#frame, 5, this.#name, this.wireName);
		return this.#parse;
	}
}

/** Builds a frame from its old body with another statement name at `offset` of the message. */
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
	readonly #limit: number;
	readonly #byteLimit: number;
	/** Bytes of all Parse frames. */
	#size = 0;
	#counter = 0;

	constructor(prefix: string, limit: number, byteLimit: number) {
		this.#prefix = prefix;
		this.#limit = limit;
		this.#byteLimit = byteLimit;
	}

	/** Remembers a Parse frame; undefined when the session has too many or too large statements. */
	add(
		name: string,
		frame: Buffer,
		statementClass: types.StatementClass,
	): Statement | undefined {
		const size =
			this.#size - (this.#statements.get(name)?.size ?? 0) + frame.length;
		const isFull =
			this.#statements.size >= this.#limit && !this.#statements.has(name);
		if (isFull || size > this.#byteLimit) {
			return undefined;
		}

		this.#counter++;
		const statement = new Statement(
			`${this.#prefix}_${this.#counter}`,
			statementClass,
			frame,
			name,
		);
		this.#size = size;
		this.#statements.set(name, statement);
		return statement;
	}

	get(name: string): Statement | undefined {
		return this.#statements.get(name);
	}

	clear(): void {
		this.#statements.clear();
		this.#size = 0;
	}

	remove(name: string): void {
		this.#size -= this.#statements.get(name)?.size ?? 0;
		this.#statements.delete(name);
	}

	/** A name that no server knows, so that the answer is 26000. */
	get missingName(): string {
		return `${this.#prefix}_missing`;
	}

	setPortal(name: string, statementClass: types.StatementClass): void {
		if (this.#portals.size >= this.#limit) {
			this.#portals.clear();
		}

		this.#portals.set(name, statementClass);
	}

	getPortal(name: string): types.StatementClass | undefined {
		return this.#portals.get(name);
	}
}
