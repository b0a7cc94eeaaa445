/**
 * Runs the compiled tests with tap and prints `N passed, N failed` as the last line. Arguments select
 * files by a part of their path. Files named `*.serial.test.js` run one at a time, after all others. Failures of tests that KNOWN-RED.txt lists are printed as known, but
 * do not fail the run.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';

/** Folders of compiled tests with the folders of their source, to skip files without a source. */
const testFolders = [
	{build: 'dist', source: 'src'},
	{build: 'dist-platform/platform', source: 'platform'},
];

function findTests({build, source}) {
	return fs
		.readdirSync(build, {recursive: true})
		.filter((name) => name.endsWith('.test.js'))
		.filter((name) =>
			fs.existsSync(path.join(source, name).replace(/\.js$/v, '.ts')),
		)
		.map((name) => path.join(build, name))
		.sort();
}

/** Reads the entries `test: <file> :: <test name>` of KNOWN-RED.txt. */
function readKnownRed() {
	if (!fs.existsSync('KNOWN-RED.txt')) {
		return [];
	}

	return fs
		.readFileSync('KNOWN-RED.txt', 'utf8')
		.split('\n')
		.filter((line) => line.startsWith('test: '))
		.map((line) => line.slice('test: '.length).split(' :: ')[1]?.trim())
		.filter(Boolean);
}

const selection = process.argv.slice(2);
const files = testFolders
	.flatMap((folders) => findTests(folders))
	.filter(
		(name) =>
			selection.length === 0 || selection.some((part) => name.includes(part)),
	);
if (files.length === 0) {
	console.error('run-tests: no test file matches');
	process.exit(1);
}

const knownRed = readKnownRed();
let passed = 0;
const failures = [];
const knownFailures = [];
let incompleteLine = '';

/** Counts the results of tests and assertions, whose lines are indented; those of files are not. */
function countLine(line) {
	const match = /^\s+(?<not>not )?ok \d+ - (?<name>.*?)(?: #.*)?$/v.exec(line);
	if (!match) {
		return;
	}

	const {not, name} = match.groups;
	if (not === undefined) {
		passed++;
	} else if (knownRed.some((known) => name.startsWith(known))) {
		knownFailures.push(name);
	} else {
		failures.push(name);
	}
}

function printLine(line) {
	if (/^\s*not ok/v.test(line) || process.env.VERBOSE) {
		console.log(line);
	}
}

const lines = [];

/** Runs test files with a number of jobs; resolves with the exit code. */
async function runFiles(names, jobs) {
	if (names.length === 0) {
		return 0;
	}

	const child = childProcess.spawn(
		'npx',
		[
			'tap',
			'run',
			'--reporter=tap',
			'--disable-coverage',
			'--allow-incomplete-coverage',
			'--timeout=120',
			`--jobs=${jobs}`,
			...names,
		],
		{stdio: ['ignore', 'pipe', 'inherit']},
	);
	child.stdout.setEncoding('utf8');
	child.stdout.on('data', (text) => {
		incompleteLine += text;
		const parts = incompleteLine.split('\n');
		incompleteLine = parts.pop();
		for (const line of parts) {
			lines.push(line);
			countLine(line);
			printLine(line);
		}
	});
	return new Promise((resolve) => {
		child.on('close', resolve);
	});
}

/** Reports the results and exits. */
function finish(code) {
	if (failures.length > 0 || (code !== 0 && knownFailures.length === 0)) {
		console.log(lines.filter((line) => !/^\s*ok/v.test(line)).join('\n'));
	}

	for (const name of knownFailures) {
		console.log(`known red: ${name}`);
	}

	const failed =
		failures.length +
		(code !== 0 && failures.length + knownFailures.length === 0 ? 1 : 0);
	console.log(`${passed} passed, ${failed} failed`);
	process.exit(failed === 0 && passed > 0 ? 0 : 1);
}

const isSerial = (name) => name.endsWith('.serial.test.js');
const codes = [
	await runFiles(
		files.filter((name) => !isSerial(name)),
		4,
	),
	await runFiles(
		files.filter((name) => isSerial(name)),
		1,
	),
];
finish(codes.find((code) => code !== 0) ?? 0);
