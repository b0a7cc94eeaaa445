/**
 * `stand-in`: runs one PostgreSQL stand-in server until SIGTERM or SIGINT, for tests without a
 * database. It keeps its data in memory.
 */
import process from 'node:process';
import * as standIn from '../standin/index.js';
import * as addresses from './addresses.js';
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';

export class StandInCommand extends base.BaseCommand {
	static override paths = [['stand-in']];
	static override usage = options.buildUsage({
		category: 'Trials',
		description: 'run a PostgreSQL stand-in server',
	});

	group = options.buildText('--group');
	server = options.buildText('--server');
	dataCentre = options.buildText('--data-centre', 'local');
	address = options.buildText('--address', '127.0.0.1');
	port = options.buildText('--port', '0');
	controlPort = options.buildText('--control-port', '0');
	primary = options.buildText('--primary', {
		description: 'server@ip:port of the primary; makes this server a replica',
	});

	term = options.buildText('--term', '1');
	slots = options.buildText('--slots', '3');
	connectionLimit = options.buildText('--connection-limit', '25');
	serviceTime = options.buildText('--service-time-ms', '0');
	announce = options.buildList('--announce', {
		description: "ip:port of a proxy's HTTP listener; may be repeated",
	});

	announcedAddress = options.buildText('--announced-address', {
		description: 'ip:port that announcements name in place of the listener',
	});

	json = options.buildFlag('--json', false, {description: 'write JSON'});

	protected async runCommand(): Promise<exits.ExitCode> {
		const server = new standIn.StandInServer(this.readOptions());
		await server.start();
		const {port, controlPort} = server;
		if (this.json) {
			const {address, server: id} = this;
			this.printJson({server: id, address, port, controlPort});
		} else {
			this.print(
				`${this.server} listens on ${server.address}, its control port is ${controlPort}.`,
			);
		}

		await new Promise<void>((resolve) => {
			process.once('SIGTERM', resolve);
			process.once('SIGINT', resolve);
		});
		await server.stop();
		return exits.exitCodes.done;
	}

	private readOptions(): standIn.StandInOptions {
		const portLimits = {min: 0, max: 65_535};
		return {
			group: base.readRequired('--group', this.group),
			server: base.readRequired('--server', this.server),
			dataCentre: this.dataCentre,
			host: this.address,
			port: base.readNumber('--port', this.port, portLimits),
			controlPort: base.readNumber(
				'--control-port',
				this.controlPort,
				portLimits,
			),
			primary: readPrimary(this.primary),
			term: base.readNumber('--term', this.term, {min: 1, max: 1e9}),
			slots: base.readNumber('--slots', this.slots, {min: 1, max: 1000}),
			connectionLimit: base.readNumber(
				'--connection-limit',
				this.connectionLimit,
				{min: 1, max: 10_000},
			),
			faults: {
				serviceTimeMs: base.readNumber('--service-time-ms', this.serviceTime, {
					min: 0,
					max: 60_000,
				}),
			},
			announceTo: (this.announce ?? []).map((text) =>
				addresses.checkAddress('--announce', text),
			),
			...(this.announcedAddress === undefined
				? {}
				: {
						announcedAddress: addresses.checkAddress(
							'--announced-address',
							this.announcedAddress,
						),
					}),
		};
	}
}

function readPrimary(
	text: string | undefined,
): standIn.StandInOptions['primary'] {
	if (text === undefined) {
		return undefined;
	}

	const separator = text.indexOf('@');
	if (separator < 1) {
		throw new exits.CommandError(
			exits.exitCodes.usage,
			`--primary: found ${text}; allowed is server@ip:port`,
		);
	}

	return {
		server: text.slice(0, separator),
		address: addresses.checkAddress('--primary', text.slice(separator + 1)),
	};
}
