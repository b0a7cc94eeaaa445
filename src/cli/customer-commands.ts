/**
 * `ctl customer list`, `add`, `rotate` and `withdraw`: changes of the customers in a member's template.
 * Keys are created here, printed once and stored as digests only.
 */
import * as crypto from 'node:crypto';
import {assertNever} from '../common/assert-never.js';
import type * as ids from '../common/ids.js';
import * as customers from '../common/template/customers.js';
import * as template from '../common/template/parse.js';
import type * as types from '../common/types.js';
import * as keyDigest from '../node/key-digest.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';
import * as peerCommand from './peer-command.js';
import * as changes from './template-change.js';

const keyBytes = 32;
const tries = 5;
/** Characters of a digest that identify it for people. */
const shownDigestLength = 12;
const minDigestLength = 4;

/** A member's template with its customers. */
type CustomerTemplate = {
	readonly version: number;
	readonly text: string;
	readonly customers: ReadonlyMap<ids.CustomerId, types.Customer>;
};

abstract class CustomerCommand extends peerCommand.PeerCommand {
	member = options.buildText({required: true});

	protected async fetchTemplate(): Promise<CustomerTemplate> {
		const path = `/templates/${encodeURIComponent(this.member)}`;
		const {version, text} = (await this.fetchJson(path)) as types.Template;
		const parsed = template.parseTemplate(text);
		if (parsed.isErr()) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				`the template of ${this.member} is not valid for this version`,
			);
		}

		return {version, text, customers: parsed.value.customers ?? new Map()};
	}

	/** Sends the template with other keys of a customer; calls `printResult` once it is accepted. */
	protected async submitKeys(
		{version, text}: CustomerTemplate,
		customer: string,
		digests: Iterable<ids.KeyDigest>,
		printResult: (version: number) => void,
	): Promise<exits.ExitCode> {
		const outcome = await changes.sendChange(
			{
				member: this.member as ids.MemberId,
				text: customers.setDigests(text, customer, digests),
				expectedVersion: version,
				changeId: crypto.randomUUID() as ids.ChangeId,
			},
			{peers: this.readPeers(), timeoutMs: this.readTimeout(), tries},
		);
		switch (outcome.type) {
			case 'accepted': {
				printResult(outcome.version);
				return exits.exitCodes.done;
			}

			case 'refused':
			case 'failed': {
				this.printError(outcome.message);
				return exits.exitCodes.failed;
			}

			case 'unknown': {
				this.printError(
					`outcome unknown (${outcome.message}); see hemlockarch ctl customer list`,
				);
				return exits.exitCodes.unknown;
			}
		}

		return assertNever(outcome);
	}

	protected getCustomer(
		{customers: known}: CustomerTemplate,
		name: string,
	): types.Customer {
		const customer = known.get(name as ids.CustomerId);
		if (!customer) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				`${this.member} has no customer ${name}`,
			);
		}

		return customer;
	}

	/** Prints a key that was just stored; it cannot be shown again. */
	protected printKey(key: string, customer: string, version: number): void {
		if (this.json) {
			this.printJson({member: this.member, customer, version, key});
		} else {
			this.context.stderr.write(
				`${customer} has a new key ${formatDigest(keyDigest.computeKeyDigest(key))} in version ${version}; it is shown once\n`,
			);
			this.print(key);
		}
	}
}

export class CustomerListCommand extends CustomerCommand {
	static override paths = [['ctl', 'customer', 'list']];
	static override usage = options.buildUsage({
		category: 'Customers',
		description: "list a member's customers with the digests of their keys",
	});

	protected async runCommand(): Promise<exits.ExitCode> {
		const {version, customers: known} = await this.fetchTemplate();
		const entries = [...known.values()].map(
			({customer, keys, ratePerS, burst}) => ({
				customer,
				ratePerS: Number.isFinite(ratePerS) ? ratePerS : undefined,
				burst: Number.isFinite(burst) ? burst : undefined,
				keys: [...keys].map((key) => formatDigest(key)),
			}),
		);
		if (this.json) {
			this.printJson({member: this.member, version, customers: entries});
			return exits.exitCodes.done;
		}

		for (const {customer, ratePerS, burst, keys} of entries) {
			this.print(
				[customer, ratePerS ?? '-', burst ?? '-', keys.join(',') || '-'].join(
					'\t',
				),
			);
		}

		return exits.exitCodes.done;
	}
}

export class CustomerAddCommand extends CustomerCommand {
	static override paths = [['ctl', 'customer', 'add']];
	static override usage = options.buildUsage({
		category: 'Customers',
		description: 'add a customer and print its first key',
		details:
			'The first customer of a member closes it: from then on every caller needs a key.',
	});

	customer = options.buildText({required: true});

	protected async runCommand(): Promise<exits.ExitCode> {
		if (!customers.isCustomerName(this.customer)) {
			throw new exits.CommandError(
				exits.exitCodes.usage,
				'a customer name has 1 to 63 letters, digits, underscores and hyphens',
			);
		}

		const found = await this.fetchTemplate();
		if (found.customers.has(this.customer as ids.CustomerId)) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				`${this.member} has a customer ${this.customer} already; see ctl customer rotate`,
			);
		}

		const key = createKey();
		const digests = [keyDigest.computeKeyDigest(key)];
		return this.submitKeys(found, this.customer, digests, (version) => {
			this.printKey(key, this.customer, version);
		});
	}
}

export class CustomerRotateCommand extends CustomerCommand {
	static override paths = [['ctl', 'customer', 'rotate']];
	static override usage = options.buildUsage({
		category: 'Customers',
		description: 'add a key to a customer and print it',
		details:
			'Earlier keys stay valid until `ctl customer withdraw`, so that callers can change over.',
	});

	customer = options.buildText({required: true});

	protected async runCommand(): Promise<exits.ExitCode> {
		const found = await this.fetchTemplate();
		const {keys} = this.getCustomer(found, this.customer);
		const key = createKey();
		const digests = [...keys, keyDigest.computeKeyDigest(key)];
		return this.submitKeys(found, this.customer, digests, (version) => {
			this.printKey(key, this.customer, version);
		});
	}
}

export class CustomerWithdrawCommand extends CustomerCommand {
	static override paths = [['ctl', 'customer', 'withdraw']];
	static override usage = options.buildUsage({
		category: 'Customers',
		description: 'withdraw a key of a customer, or all of them',
		details: 'The customer stays in the template, without the key.',
	});

	customer = options.buildText({required: true});
	digest = options.buildText('--digest', {
		description: 'beginning of the digest of the key, as listed',
	});

	all = options.buildFlag('--all', false, {
		description: 'withdraw all keys of the customer',
	});

	protected async runCommand(): Promise<exits.ExitCode> {
		const {digest} = this;
		if (this.all === (digest !== undefined)) {
			throw new exits.CommandError(
				exits.exitCodes.usage,
				'withdraw takes either --digest or --all',
			);
		}

		const found = await this.fetchTemplate();
		const {keys} = this.getCustomer(found, this.customer);
		const withdrawn = [...keys].filter(
			(key) => digest === undefined || key.startsWith(digest),
		);
		if (
			digest !== undefined &&
			(digest.length < minDigestLength || withdrawn.length !== 1)
		) {
			throw new exits.CommandError(
				exits.exitCodes.failed,
				`--digest: ${withdrawn.length} keys begin with ${digest}; allowed is the beginning of one key, ${minDigestLength} characters or more`,
			);
		}

		const remaining = [...keys].filter((key) => !withdrawn.includes(key));
		return this.submitKeys(found, this.customer, remaining, (version) => {
			if (this.json) {
				this.printJson({
					member: this.member,
					customer: this.customer,
					version,
					withdrawn: withdrawn.length,
				});
			} else {
				this.print(
					`${this.customer} has ${remaining.length} keys in version ${version}; ${withdrawn.length} withdrawn.`,
				);
			}
		});
	}
}

function createKey(): string {
	return crypto.randomBytes(keyBytes).toString('base64url');
}

function formatDigest(digest: ids.KeyDigest): string {
	return digest.slice(0, shownDigestLength);
}
