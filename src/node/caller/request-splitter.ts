/**
 * Groups the caller's frames into work items: one Query, or extended frames up to Sync or Flush.
 */
import {Buffer} from 'node:buffer';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import * as classify from './classify.js';
import * as items from './items.js';
import * as localAnswers from './local-answers.js';
import * as statements from './statements.js';
import type * as types from './types.js';

const mixedSettingsMessage =
	'SET and SHOW of hemlockarch settings must be sent as requests of their own';
const functionCallMessage = 'function calls are not supported by hemlockarch';

/** Collects the frames of one session; `add` returns the item that a frame completes. */
export class RequestSplitter {
	#frames: Buffer[] = [];
	#size = 0;
	#kinds: proxy.RequestKind[] = [];
	/** Attributes of the statements, in the order of their last use. */
	readonly #attributes = new Set<types.StatementClass['attributes']>();
	#prepared = new Map<string, Buffer>();
	readonly #parsedInRequest = new Set<string>();
	#steps: types.LocalStep[] = [];
	#refusal: {sqlState: string; message: string} | undefined;
	/** Some frames of the request must be processed by a server. */
	#needsServer = false;
	/** Kinds of the requests since a Flush left the implicit transaction open. */
	#implicitTransactionKinds: proxy.RequestKind[] = [];
	#preventsKeyClaim = false;
	/** The session used SQL PREPARE: a name that is not in the table may exist on the server. */
	#hasSqlPrepare = false;
	readonly #table: statements.StatementTable;
	readonly #maxRequestBytes: number;

	constructor(table: statements.StatementTable, maxRequestBytes: number) {
		this.#table = table;
		this.#maxRequestBytes = maxRequestBytes;
	}

	/** Bytes of the request that is not complete yet, with the objects that hold its messages. */
	get size(): number {
		return this.#size + this.#frames.length * items.overheadBytes;
	}

	add(frame: Buffer): types.WorkItem | items.ProtocolProblem | undefined {
		this.#size += frame.length;
		if (this.#size > this.#maxRequestBytes) {
			return items.createProblem('54000', 'the request exceeds the size limit');
		}

		switch (frame[0]) {
			case messages.messageTypes.query: {
				return this.#handleQuery(frame);
			}

			case messages.messageTypes.parse: {
				return this.#handleParse(frame);
			}

			case messages.messageTypes.bind: {
				return this.#handleBind(frame);
			}

			case messages.messageTypes.describe: {
				return this.#handleDescribe(frame);
			}

			case messages.messageTypes.execute: {
				return this.#handleExecute(frame);
			}

			case messages.messageTypes.close: {
				return this.#handleClose(frame);
			}

			case messages.messageTypes.sync: {
				return this.#finishRequest(frame, false);
			}

			case messages.messageTypes.flush: {
				return this.#frames.length === 0
					? undefined
					: this.#finishRequest(frame, true);
			}

			case messages.messageTypes.functionCall: {
				this.#reset();
				return items.createRefusal(functionCallMessage);
			}

			case messages.messageTypes.copyData:
			case messages.messageTypes.copyDone:
			case messages.messageTypes.copyFail: {
				// Like a server, the proxy ignores the remaining messages of a refused COPY.
				this.#size -= frame.length;
				return undefined;
			}

			default: {
				return items.createProblem(
					'08P01',
					`invalid frontend message type ${frame[0]}`,
				);
			}
		}
	}

	#handleQuery(frame: Buffer): types.WorkItem | items.ProtocolProblem {
		if (this.#frames.length > 0) {
			return items.createProblem('08P01', 'Query before the end of a sequence');
		}

		const text = messages.readString(frame, 5);
		if (text === undefined) {
			return items.createInvalidStringProblem();
		}

		this.#size = 0;
		const statementClass = classify.classifyText(text);
		this.#hasSqlPrepare ||= statementClass.preparesStatement;
		return items.createQueryItem(frame, statementClass, this.#table);
	}

	#handleParse(frame: Buffer): items.ProtocolProblem | undefined {
		const name = messages.readName(frame, 5);
		const text =
			name === undefined
				? undefined
				: messages.readString(frame, 6 + Buffer.byteLength(name));
		if (name === undefined || text === undefined) {
			return items.createInvalidStringProblem();
		}

		const statementClass = classify.classifyText(text);
		this.#checkRefusal(statementClass);

		const statement = this.#table.add(name, frame, statementClass);
		if (!statement) {
			this.#refusal ??= {
				sqlState: '53400',
				message: 'the prepared statements of the session exceed their limit',
			};
			return undefined;
		}

		this.#parsedInRequest.add(name);
		this.#hasSqlPrepare ||= statementClass.preparesStatement;
		if (statementClass.setting) {
			this.#pushLocal(frame, localAnswers.parseComplete);
		} else {
			this.#needsServer = true;
			this.#frames.push(name === '' ? frame : statement.parse);
		}

		return undefined;
	}

	#handleBind(frame: Buffer): items.ProtocolProblem | undefined {
		const portal = messages.readName(frame, 5);
		const offset = portal === undefined ? 0 : 6 + Buffer.byteLength(portal);
		const name =
			portal === undefined ? undefined : messages.readName(frame, offset);
		if (portal === undefined || name === undefined) {
			return items.createInvalidStringProblem();
		}

		const statementClass = this.#table.get(name)?.statementClass;
		if (statementClass) {
			this.#checkRefusal(statementClass);
			this.#table.setPortal(portal, statementClass);
			this.#addAttributes(statementClass);
		}

		if (statementClass?.setting) {
			this.#pushLocal(frame, localAnswers.bindComplete);
			return undefined;
		}

		this.#kinds.push(statementClass?.kind ?? 'write');
		this.#preventsKeyClaim ||= statementClass?.preventsKeyClaim ?? false;
		this.#pushWithWireName(frame, offset, name);
		return undefined;
	}

	/** A list that was added before moves to the end, because later values override earlier ones. */
	#addAttributes({attributes}: types.StatementClass): void {
		if (attributes.length > 0) {
			this.#attributes.delete(attributes);
			this.#attributes.add(attributes);
		}
	}

	#handleDescribe(frame: Buffer): items.ProtocolProblem | undefined {
		const name = messages.readName(frame, 6);
		if (name === undefined) {
			return items.createInvalidStringProblem();
		}

		const isStatement = frame[5] === 0x53;
		const statementClass = isStatement
			? this.#table.get(name)?.statementClass
			: this.#table.getPortal(name);
		if (statementClass?.setting) {
			this.#frames.push(frame);
			this.#steps.push({
				type: 'describe',
				setting: statementClass.setting,
				isStatement,
			});
		} else if (isStatement) {
			this.#pushWithWireName(frame, 6, name);
		} else {
			this.#needsServer = true;
			this.#frames.push(frame);
		}

		return undefined;
	}

	#handleExecute(frame: Buffer): items.ProtocolProblem | undefined {
		const portal = messages.readName(frame, 5);
		if (portal === undefined) {
			return items.createInvalidStringProblem();
		}

		const statementClass = this.#table.getPortal(portal);
		if (statementClass?.setting) {
			this.#frames.push(frame);
			this.#steps.push({
				type: 'run',
				setting: statementClass.setting,
				isSimple: false,
			});
			return undefined;
		}

		if (this.#kinds.length === 0) {
			this.#kinds.push(statementClass?.kind ?? 'write');
		}

		this.#needsServer = true;
		this.#frames.push(frame);
		return undefined;
	}

	#handleClose(frame: Buffer): items.ProtocolProblem | undefined {
		const name = messages.readName(frame, 6);
		if (name === undefined) {
			return items.createInvalidStringProblem();
		}

		const statement = frame[5] === 0x53 ? this.#table.get(name) : undefined;
		if (statement) {
			this.#table.remove(name);
		}

		if (statement?.statementClass.setting) {
			this.#pushLocal(frame, localAnswers.closeComplete);
			return undefined;
		}

		this.#needsServer = true;
		this.#frames.push(
			statement && name !== ''
				? statements.rewriteName(frame, 6, name, statement.wireName)
				: frame,
		);
		return undefined;
	}

	/** Adds a frame that the adapter answers itself. */
	#pushLocal(frame: Buffer, response: Buffer): void {
		this.#frames.push(frame);
		this.#steps.push({type: 'message', data: response});
	}

	/** Adds a frame that refers to a statement, with its name replaced by the one that servers know. */
	#pushWithWireName(frame: Buffer, offset: number, name: string): void {
		this.#needsServer = true;
		const statement = this.#table.get(name);
		const isParsedInRequest = this.#parsedInRequest.has(name);
		if (
			(name === '' && isParsedInRequest) ||
			(!statement && this.#hasSqlPrepare)
		) {
			this.#frames.push(frame);
			return;
		}

		if (statement && !isParsedInRequest) {
			this.#prepared.set(statement.wireName, statement.parse);
		}

		this.#frames.push(
			statements.rewriteName(
				frame,
				offset,
				name,
				statement?.wireName ?? this.#table.unknownName,
			),
		);
	}

	#finishRequest(frame: Buffer, isFlush: boolean): types.WorkItem {
		const refusal = this.#refusal ?? this.#findSequenceRefusal();
		if (refusal) {
			this.#reset();
			return {type: 'refusal', ...refusal, isFlush};
		}

		if (this.#steps.length > 0) {
			const item: types.WorkItem = {
				type: 'local',
				steps: isFlush ? this.#steps : [...this.#steps, {type: 'ready'}],
				size: this.size,
			};
			this.#reset();
			return item;
		}

		const kind = this.#chooseKind(isFlush);
		const frames =
			this.#frames.length === 0
				? frame
				: Buffer.concat([...this.#frames, frame]);
		const item: types.WorkItem = {
			type: 'request',
			kind,
			payload:
				this.#prepared.size === 0
					? {frames}
					: {
							frames,
							prepared: [...this.#prepared].map(([name, parse]) => ({
								name,
								parse,
							})),
						},
			attributes: [...this.#attributes].flat(),
			preventsKeyClaim:
				this.#preventsKeyClaim || classify.preventsKeyClaim(this.#kinds),
			isFlush,
		};
		this.#reset();
		return item;
	}

	#checkRefusal({refusal}: types.StatementClass): void {
		if (refusal !== undefined) {
			this.#refusal ??= {
				sqlState: items.featureNotSupportedSqlState,
				message: refusal,
			};
		}
	}

	#findSequenceRefusal(): {sqlState: string; message: string} | undefined {
		if (this.#steps.length > 0 && this.#needsServer) {
			return {
				sqlState: items.featureNotSupportedSqlState,
				message: mixedSettingsMessage,
			};
		}

		return classify.hasLateBegin(this.#kinds)
			? {
					sqlState: items.featureNotSupportedSqlState,
					message: classify.lateBeginMessage,
				}
			: undefined;
	}

	/** A Sync after Flush commits what ran since the implicit transaction was opened. */
	#chooseKind(isFlush: boolean): proxy.RequestKind {
		const kind = classify.classifySequence(this.#kinds);
		const hasWritten = this.#implicitTransactionKinds.some(
			(previous) => previous === 'write' || previous === 'sessionState',
		);
		this.#implicitTransactionKinds = isFlush
			? [...this.#implicitTransactionKinds, kind]
			: [];
		return !isFlush && hasWritten && kind === 'read' ? 'commit' : kind;
	}

	#reset(): void {
		this.#frames = [];
		this.#size = 0;
		this.#kinds = [];
		this.#attributes.clear();
		this.#prepared = new Map();
		this.#parsedInRequest.clear();
		this.#steps = [];
		this.#refusal = undefined;
		this.#needsServer = false;
		this.#preventsKeyClaim = false;
	}
}
