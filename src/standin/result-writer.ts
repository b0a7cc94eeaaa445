/**
 * Writes the results of statements, with backpressure from the connection.
 */
import type * as extended from './extended-protocol.js';
import type * as gates from './gate.js';
import type * as types from './types.js';
import type * as wire from './wire.js';

/** Rows are sent in chunks of about this size. */
export const flushThresholdBytes = 64 * 1024;

export class ResultWriter {
	private readonly writer: wire.MessageWriter;
	private readonly connection: gates.GatedSocket;

	constructor(writer: wire.MessageWriter, connection: gates.GatedSocket) {
		this.writer = writer;
		this.connection = connection;
	}

	/** Sends the collected messages; returns false when the send buffer is full. */
	flush(): boolean {
		return this.writer.size === 0 || this.connection.write(this.writer.take());
	}

	writeResult(
		result: types.StatementResult,
		withRowDescription: boolean,
		portal?: extended.Portal,
		maxRows = 0,
	): Promise<void> | void {
		if (result.fields && withRowDescription) {
			this.writer.writeRowDescription(result.fields);
		}

		return this.writeRows(result, result.rows[Symbol.iterator](), {
			rowCount: 0,
			maxRows,
			portal,
		});
	}

	/**
	 * Writes rows until the end of the result or the row limit of the Execute message; waits while
	 * the send buffer is full.
	 */
	writeRows(
		result: types.StatementResult,
		rows: Iterator<types.Row>,
		progress: {rowCount: number; maxRows: number; portal?: extended.Portal},
	): Promise<void> | void {
		for (;;) {
			if (progress.maxRows > 0 && progress.rowCount === progress.maxRows) {
				progress.portal!.suspendedResult = {rows, result};
				this.writer.writeEmpty('s');
				return;
			}

			const next = rows.next();
			if (next.done) {
				break;
			}

			this.writer.writeDataRow(next.value);
			progress.rowCount++;
			if (this.writer.size > flushThresholdBytes && !this.flush()) {
				return this.connection
					.waitUntilWritable()
					.then(async () => this.writeRows(result, rows, progress));
			}
		}

		const tag =
			result.tag === 'SELECT' ? `SELECT ${progress.rowCount}` : result.tag;
		this.writer.writeCommandComplete(tag);
	}
}
