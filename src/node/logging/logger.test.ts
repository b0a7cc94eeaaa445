import * as stream from 'node:stream';
import tap from 'tap';
import * as logging from './logger.js';

function createOutput(): {output: stream.Writable; lines: string[]} {
	const lines: string[] = [];
	const output = new stream.Writable({
		write(chunk, _encoding, done) {
			lines.push(String(chunk).trimEnd());
			done();
		},
	});
	return {output, lines};
}

// Guards against records below the configured level, a missing prefix, and messages whose line breaks
// forge another record.
tap.test('text format writes one prefixed line per record', async (t) => {
	const {output, lines} = createOutput();
	const logger = logging.createLogger({level: 'info', format: 'text', output});
	logger.write({level: 'info', part: 'lease', message: 'Lease granted.'});
	logger.write({level: 'debug', part: 'lease', message: 'Not shown.'});
	logger.write({level: 'warn', part: 'peer', message: 'Lost\nfake line'});
	t.equal(lines.length, 2);
	t.match(lines[0], /^\d{4}-\S+ info {2}\[lease\] {8}Lease granted\.$/v);
	t.match(lines[1], /warn {2}\[peer\] {9}Lost fake line$/v);
});

// Guards against JSON lines that a log collector cannot parse.
tap.test('JSON format writes one object per record', async (t) => {
	const {output, lines} = createOutput();
	const logger = logging.createLogger({level: 'debug', format: 'json', output});
	logger.write({level: 'debug', part: 'lease', message: 'Renewed.'});
	t.match(JSON.parse(lines[0]), {
		level: 'debug',
		part: 'lease',
		message: 'Renewed.',
		timestamp: /^\d{4}-/v,
	});
});
