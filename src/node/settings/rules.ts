/**
 * The sections and keys of a settings file, with their allowed values and defaults.
 */
import * as net from 'node:net';
import * as zod from 'zod';

/** Validation of one key. A key with neither `defaultValue` nor `optional` is required. */
export type KeyRule = {
	readonly schema: zod.ZodType;
	/** Completes the sentence "allowed is …". */
	readonly allowed: string;
	/** Text that is used when the key is missing. */
	readonly defaultValue?: string;
	readonly optional?: boolean;
};

/** Exceeds the largest `deadline_ms` of a template, 20 s, so that a drain aborts no request. */
const minDrainDeadlineSeconds = 21;
const maxDrainDeadlineSeconds = 600;
const maxCallerConnections = 200_000;
/** Below this, a message of 1 MiB would not fit together with the program. */
const minDiskMegabytes = 32;
const maxDiskMegabytes = 1_000_000;
const minMemoryMegabytes = 128;
const maxMemoryMegabytes = 1_000_000;
/** Each control peer above this limit costs a VM and does not make writes safer. */
const maxControlPeers = 9;

const idPattern = /^[a-z0-9][a-z0-9.\-]{0,62}$/v;

function isAddress(text: string): boolean {
	const separator = text.lastIndexOf(':');
	const port = text.slice(separator + 1);
	return (
		net.isIP(text.slice(0, Math.max(separator, 0))) !== 0 &&
		/^\d{1,5}$/v.test(port) &&
		Number(port) >= 1 &&
		Number(port) <= 65_535
	);
}

const idRule: KeyRule = {
	schema: zod.string().regex(idPattern),
	allowed:
		'lower case letters, digits, points and hyphens, at most 63 characters',
};

function buildNumberRule(
	min: number,
	max: number,
	overrides: Partial<KeyRule> = {},
): KeyRule {
	return {
		schema: zod
			.string()
			.regex(/^\d{1,9}$/v)
			.transform(Number)
			.pipe(zod.number().min(min).max(max)),
		allowed: `a whole number from ${min} to ${max}`,
		...overrides,
	};
}

function buildChoiceRule(
	values: readonly string[],
	overrides: Partial<KeyRule> = {},
): KeyRule {
	return {
		schema: zod.enum(values),
		allowed: `one of ${values.join(', ')}`,
		...overrides,
	};
}

/** Port 0 lets the operating system choose a port; tests use it. */
const portRule = buildNumberRule(0, 65_535);

const peersRule: KeyRule = {
	schema: zod
		.string()
		.transform((text) => text.split(',').map((item) => item.trim()))
		.pipe(
			zod
				.array(zod.string())
				.max(maxControlPeers)
				.refine((items) => items.length % 2 === 1),
		)
		.transform((items) =>
			items.map((item) => {
				const [id, ...rest] = item.split('@');
				return {id, address: rest.join('@')};
			}),
		)
		.refine((peers) =>
			peers.every(({id, address}) => idPattern.test(id) && isAddress(address)),
		)
		.refine(
			(peers) =>
				new Set(peers.map(({id}) => id)).size === peers.length &&
				new Set(peers.map(({address}) => address)).size === peers.length,
		),
	allowed: `an odd number of different id@ip:port, separated by commas, at most ${maxControlPeers}`,
};

/** All sections in the order of the documentation. */
export const sectionRules: ReadonlyMap<
	string,
	Readonly<Record<string, KeyRule>>
> = new Map<string, Readonly<Record<string, KeyRule>>>([
	[
		'process',
		{
			id: idRule,
			role: buildChoiceRule(['proxy', 'control']),
			vm: idRule,
			data_centre: idRule,
			region: idRule,
			data_folder: {
				schema: zod.string().min(1).max(4096),
				allowed: 'a path',
				optional: true,
			},
		},
	],
	[
		'listen',
		{
			address: {
				schema: zod.string().refine((text) => net.isIP(text) !== 0),
				allowed: 'an IP address',
			},
			callers_port: {...portRule, optional: true},
			peers_port: portRule,
			http_port: portRule,
		},
	],
	['control', {peers: peersRule}],
	[
		'limits',
		{
			drain_deadline_s: buildNumberRule(
				minDrainDeadlineSeconds,
				maxDrainDeadlineSeconds,
				{defaultValue: '30'},
			),
			max_connections: buildNumberRule(1, maxCallerConnections, {
				defaultValue: '10000',
			}),
			memory_mb: buildNumberRule(minMemoryMegabytes, maxMemoryMegabytes, {
				optional: true,
			}),
			disk_mb: buildNumberRule(minDiskMegabytes, maxDiskMegabytes, {
				optional: true,
			}),
		},
	],
	[
		'log',
		{
			level: buildChoiceRule(['error', 'warn', 'info', 'debug'], {
				defaultValue: 'info',
			}),
			format: buildChoiceRule(['json', 'text'], {defaultValue: 'text'}),
		},
	],
]);
