/**
 * `check-config`: checks settings files, or templates, and lists all problems.
 */
import * as template from '../common/template/parse.js';
import * as memoryBudget from '../common/policy/memory-budget.js';
import * as settings from '../node/settings/settings.js';
import type * as settingsTypes from '../node/settings/types.js';
import * as base from './base-command.js';
import * as exits from './exit-codes.js';
import * as options from './options.js';

const mebibyte = 1024 * 1024;
/** Resident memory of a process without connections. */
const programBytes = 80 * mebibyte;
/** Memory of an idle session with its socket. */
const connectionBytes = 16 * 1024;
/** Memory that each byte of the budget may take with its copies. */
const budgetCopies = 3;

type FileReport = {
	readonly file: string;
	readonly problems: ReadonlyArray<{
		readonly section: string;
		readonly key: string;
		readonly found: string;
		readonly allowed: string;
	}>;
	readonly lines: readonly string[];
	readonly warnings: readonly string[];
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
				files: reports.map(({file, problems, warnings}) => ({
					file,
					problems,
					...(warnings.length > 0 ? {warnings} : {}),
				})),
			});
		} else {
			for (const {file, problems, lines, warnings} of reports) {
				this.print(
					problems.length === 0 ? `${file}: no problem` : lines.join('\n'),
				);
				for (const warning of warnings) {
					this.print(warning);
				}
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
			warnings: [],
		};
	}
}

/** Warns when the connections and the budget together exceed the memory of the process. */
function listWarnings(
	file: string,
	{limits}: settingsTypes.Settings,
): string[] {
	const {memoryBytes, maxConnections} = limits;
	if (memoryBytes === undefined) {
		return [];
	}

	const neededBytes =
		programBytes +
		maxConnections * connectionBytes +
		memoryBudget.buildMemoryLimits(memoryBytes).totalBytes * budgetCopies;
	return neededBytes > memoryBytes
		? [
				`${file} [limits] warning: ${maxConnections} connections and the budget may take ${toMebibytes(neededBytes)} MB; memory_mb is ${toMebibytes(memoryBytes)}`,
			]
		: [];
}

function toMebibytes(bytes: number): number {
	return Math.round(bytes / mebibyte);
}

function checkSettings(file: string): FileReport {
	const result = settings.loadSettings(file);
	const problems = result.isErr() ? result.error : [];
	return {
		file,
		problems,
		lines: problems.map((problem) => settings.formatProblem(problem)),
		warnings: result.isOk() ? listWarnings(file, result.value) : [],
	};
}
