/**
 * `check-config`: checks settings files, or templates, and lists all problems.
 */
import * as template from '../common/template/parse.js';
import * as settings from '../node/settings/settings.js';
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';

type FileReport = {
	readonly file: string;
	readonly problems: ReadonlyArray<{
		readonly section: string;
		readonly key: string;
		readonly found: string;
		readonly allowed: string;
	}>;
	readonly lines: readonly string[];
};

export class CheckConfigCommand extends base.BaseCommand {
	static override paths = [['check-config']];
	static override usage = options.buildUsage({
		category: 'Daemons',
		description: 'check settings files or templates',
	});

	isTemplate = options.buildFlag('--template', false, {
		description: 'the files are templates',
	});

	json = options.buildFlag('--json', false, {
		description: 'write JSON',
	});

	files = options.buildRest({required: 1, name: 'file'});

	protected async runCommand(): Promise<exits.ExitCode> {
		const reports: FileReport[] = [];
		for (const file of this.files) {
			reports.push(
				this.isTemplate ? await this.checkTemplate(file) : checkSettings(file),
			);
		}

		const hasProblems = reports.some(({problems}) => problems.length > 0);
		if (this.json) {
			this.printJson({
				ok: !hasProblems,
				files: reports.map(({file, problems}) => ({file, problems})),
			});
		} else {
			for (const {file, problems, lines} of reports) {
				this.print(
					problems.length === 0 ? `${file}: no problem` : lines.join('\n'),
				);
			}
		}

		return hasProblems ? exits.exitCodes.usage : exits.exitCodes.done;
	}

	private async checkTemplate(file: string): Promise<FileReport> {
		const result = template.parseTemplate(await this.readInput(file));
		const problems = result.isErr() ? result.error : [];
		return {
			file,
			problems: problems.map((problem) => ({
				...problem,
				key: problem.key ?? '',
			})),
			lines: problems.map(
				(problem) => `${file} ${template.formatProblem(problem)}`,
			),
		};
	}
}

function checkSettings(file: string): FileReport {
	const result = settings.loadSettings(file);
	const problems = result.isErr() ? result.error : [];
	return {
		file,
		problems,
		lines: problems.map((problem) => settings.formatProblem(problem)),
	};
}
