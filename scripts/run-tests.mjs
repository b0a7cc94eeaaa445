/**
 * Runs the compiled tests with tap and ends with the line `N passed, N failed`.
 * Arguments select files by a part of their path. Tests that KNOWN-RED.txt lists are run
 * and printed, but do not fail the run.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';

/** Folders of compiled tests, and the folder of the source that each was built from. */
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

const child = childProcess.spawn(
	'npx',
	[
		'tap',
		'run',
		'--reporter=tap',
		'--disable-coverage',
		'--allow-incomplete-coverage',
		'--timeout=120',
		'--jobs=4',
		...files,
	],
	{stdio: ['ignore', 'pipe', 'inherit']},
);

const knownRed = readKnownRed();
let passed = 0;
const failures = [];
const excused = [];
let buffered = '';

/** Counts the assertions of the innermost level: lines without a nested block. */
function countLine(line) {
	const match = /^\s+(?<not>not )?ok \d+ - (?<name>.*?)(?: #.*)?$/v.exec(line);
	if (!match) {
		return;
	}

	const {not, name} = match.groups;
	if (not === undefined) {
		passed++;
	} else if (knownRed.some((known) => name.startsWith(known))) {
		excused.push(name);
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
child.stdout.setEncoding('utf8');
child.stdout.on('data', (text) => {
	buffered += text;
	const parts = buffered.split('\n');
	buffered = parts.pop();
	for (const line of parts) {
		lines.push(line);
		countLine(line);
		printLine(line);
	}
});

child.on('close', (code) => {
	if (failures.length > 0 || (code !== 0 && excused.length === 0)) {
		console.log(lines.filter((line) => !/^\s*ok/v.test(line)).join('\n'));
	}

	for (const name of excused) {
		console.log(`known red: ${name}`);
	}

	const failed =
		failures.length +
		(code !== 0 && failures.length + excused.length === 0 ? 1 : 0);
	console.log(`${passed} passed, ${failed} failed`);
	process.exit(failed === 0 && passed > 0 ? 0 : 1);
});
