/**
 * `ctl template get`, `ctl template set` and `ctl template history`.
 */
import * as crypto from 'node:crypto';
import {assertNever} from '../common/assert-never.js';
import type * as ids from '../common/ids.js';
import * as template from '../common/template/parse.js';
import type * as types from '../common/types.js';
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as peerCommand from './peer-command.js';
import * as changes from './template-change.js';
import * as options from './options.js';

const maxVersion = 1e12;
const maxTries = 50;
const maxIdLength = 128;

export class TemplateGetCommand extends peerCommand.PeerCommand {
	static override paths = [['ctl', 'template', 'get']];
	static override usage = options.buildUsage({
		category: 'Templates',
		description: "print a member's template",
		details:
			'Writes the text to standard output and its version to standard error.',
	});

	member = options.buildText({required: true});

	protected async runCommand(): Promise<exits.ExitCode> {
		const path = `/templates/${encodeURIComponent(this.member)}`;
		const found = (await this.fetchJson(path)) as types.Template;
		if (this.json) {
			this.printJson(found);
		} else {
			this.context.stderr.write(`version ${found.version}\n`);
			this.print(found.text.replace(/\n$/v, ''));
		}

		return exits.exitCodes.done;
	}
}

export class TemplateHistoryCommand extends peerCommand.PeerCommand {
	static override paths = [['ctl', 'template', 'history']];
	static override usage = options.buildUsage({
		category: 'Templates',
		description: "list the versions of a member's template",
	});

	member = options.buildText({required: true});

	protected async runCommand(): Promise<exits.ExitCode> {
		const path = `/templates/${encodeURIComponent(this.member)}/history`;
		const body = (await this.fetchJson(path)) as {
			readonly history: readonly types.Template[];
		};
		if (this.json) {
			this.printJson(body);
		} else {
			for (const {version, changeId} of body.history) {
				this.print(`${version}\t${changeId}`);
			}
		}

		return exits.exitCodes.done;
	}
}

export class TemplateSetCommand extends peerCommand.PeerCommand {
	static override paths = [['ctl', 'template', 'set']];
	static override usage = options.buildUsage({
		category: 'Templates',
		description: "change a member's template",
		details:
			'The file is checked first; `-` reads standard input. When no response arrives, the change is retried with the same change id.',
	});

	member = options.buildText({required: true});
	file = options.buildText({required: true});
	expectedVersion = options.buildText('--expected-version', {
		description:
			'version that the change replaces; 0 for a member without a template',
	});

	changeId = options.buildText('--change-id', {
		description: 'change id of an earlier try; a new one by default',
	});

	tries = options.buildText('--tries', '5', {
		description: 'maximum number of tries (default 5)',
	});

	protected async runCommand(): Promise<exits.ExitCode> {
		const change = await this.buildChange();
		const outcome = await changes.sendChange(change, {
			peers: this.readPeers(),
			timeoutMs: this.readTimeout(),
			tries: base.readNumber('--tries', this.tries, {min: 1, max: maxTries}),
		});
		const {member, changeId} = change;
		if (this.json) {
			this.printJson({member, changeId, ...outcome});
		}

		switch (outcome.type) {
			case 'accepted': {
				if (!this.json) {
					this.print(
						`${member} has version ${outcome.version} (change ${changeId}).`,
					);
				}

				return exits.exitCodes.done;
			}

			case 'refused':
			case 'failed': {
				this.printError(outcome.message);
				return exits.exitCodes.failed;
			}

			case 'unknown': {
				this.printError(
					`outcome unknown (${outcome.message}); resend with --change-id ${changeId}`,
				);
				return exits.exitCodes.unknown;
			}
		}

		return assertNever(outcome);
	}

	/** Builds the change from the options and the file; throws `CommandError` with exit code 2. */
	private async buildChange(): Promise<types.TemplateChange> {
		const expectedVersion = base.readNumber(
			'--expected-version',
			base.readRequired('--expected-version', this.expectedVersion),
			{min: 0, max: maxVersion},
		);
		const changeId = this.changeId ?? crypto.randomUUID();
		if (changeId.length === 0 || changeId.length > maxIdLength) {
			throw new exits.CommandError(
				exits.exitCodes.usage,
				`--change-id: allowed is a text of 1 to ${maxIdLength} characters`,
			);
		}

		const text = await this.readInput(this.file);
		const checked = template.parseTemplate(text);
		if (checked.isErr()) {
			const problems = checked.error.map((problem) =>
				template.formatProblem(problem),
			);
			throw new exits.CommandError(
				exits.exitCodes.usage,
				`${this.file}: ${problems.join('; ')}`,
			);
		}

		return {
			member: this.member as ids.MemberId,
			text,
			expectedVersion,
			changeId: changeId as ids.ChangeId,
		};
	}
}
