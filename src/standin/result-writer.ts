/**
 * Writes the results of statements and keeps to the pace of the receiver.
 */
import type * as extended from './extended-protocol.js';
import type * as gates from './gate.js';
import type * as types from './types.js';
import type * as wire from './wire.js';

/** Rows are sent in pieces of about this size. */
export const flushBytes = 64 * 1024;

export class ResultWriter {
	private readonly writer: wire.MessageWriter;
	private readonly connection: gates.GatedSocket;

	constructor(writer: wire.MessageWriter, connection: gates.GatedSocket) {
		this.writer = writer;
		this.connection = connection;
	}

	/** Sends what was written; false when the receiver is slow. */
	flush(): boolean {
		return this.writer.size === 0 || this.connection.write(this.writer.take());
	}

	writeResult(
		result: types.StatementResult,
		isDescribed: boolean,
		portal?: extended.Portal,
		maxRows = 0,
	): Promise<void> | void {
		if (result.fields && isDescribed) {
			this.writer.writeRowDescription(result.fields);
		}

		return this.writeRows(result, result.rows[Symbol.iterator](), {
			count: 0,
			maxRows,
			portal,
		});
	}

	/** Writes rows until the end, the limit of the Execute message, or a slow receiver. */
	writeRows(
		result: types.StatementResult,
		rows: Iterator<types.Row>,
		progress: {count: number; maxRows: number; portal?: extended.Portal},
	): Promise<void> | void {
		for (;;) {
			if (progress.maxRows > 0 && progress.count === progress.maxRows) {
				progress.portal!.suspendedResult = {rows, result};
				this.writer.writeEmpty('s');
				return;
			}

			const next = rows.next();
			if (next.done) {
				break;
			}

			this.writer.writeDataRow(next.value);
			progress.count++;
			if (this.writer.size > flushBytes && !this.flush()) {
				return this.connection
					.waitDrain()
					.then(async () => this.writeRows(result, rows, progress));
			}
		}

		const tag =
			result.tag === 'SELECT' ? `SELECT ${progress.count}` : result.tag;
		this.writer.writeCommandComplete(tag);
	}
}
