/**
 * The prepared statements and portals of one session. A caller's statement names become names that
 * are unique in the whole installation, because sessions of all proxies share the connections.
 */
import {Buffer} from 'node:buffer';
import * as messages from '../wire/messages.js';
import type * as types from './types.js';

/** A statement that the caller prepared. */
export type Statement = {
	/** Name towards the servers. */
	readonly wireName: string;
	/** The Parse frame under that name. */
	readonly parse: Buffer;
	readonly statementClass: types.StatementClass;
};

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
	#counter = 0;

	constructor(prefix: string, limit: number) {
		this.#prefix = prefix;
		this.#limit = limit;
	}

	/** Remembers a Parse frame; undefined when the session has too many statements. */
	add(
		name: string,
		frame: Buffer,
		statementClass: types.StatementClass,
	): Statement | undefined {
		if (this.#statements.size >= this.#limit && !this.#statements.has(name)) {
			return undefined;
		}

		this.#counter++;
		const wireName = `${this.#prefix}_${this.#counter}`;
		const statement = {
			wireName,
			parse: rewriteName(frame, 5, name, wireName),
			statementClass,
		};
		this.#statements.set(name, statement);
		return statement;
	}

	get(name: string): Statement | undefined {
		return this.#statements.get(name);
	}

	remove(name: string): void {
		this.#statements.delete(name);
	}

	clear(): void {
		this.#statements.clear();
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
