/**
 * Sections `[customer NAME]` of a template: names and digests of keys, and edits of the text that keep
 * everything else as the operator wrote it, comments included.
 */
import type * as ids from '../ids.js';

const sectionPattern = /^customer (?<name>[\w\-]{1,63})$/v;
/** A SHA-256 digest in base64. */
const digestPattern = /^[A-Za-z0-9+\/]{43}=$/v;
const keyLinePattern = /^\s*key_digests\s*=/v;
const sectionLinePattern = /^\s*\[(?<section>[^\]]*)\]/v;

/** Returns the customer that a section describes; undefined for another section. */
export function parseSectionName(section: string): ids.CustomerId | undefined {
	return sectionPattern.exec(section)?.groups?.name as
		ids.CustomerId | undefined;
}

export function formatSectionName(customer: string): string {
	return `customer ${customer}`;
}

/** True for a name that a section can have. */
export function isCustomerName(name: string): boolean {
	return parseSectionName(formatSectionName(name)) !== undefined;
}

export function isDigestList(text: string): boolean {
	return splitList(text).every((digest) => digestPattern.test(digest));
}

export function parseDigests(text: string): Set<ids.KeyDigest> {
	return new Set(splitList(text) as ids.KeyDigest[]);
}

export function formatDigests(digests: Iterable<ids.KeyDigest>): string {
	return [...digests].join(', ');
}

/** Replaces the keys of a customer in a template text, or adds a section for it at the end. */
export function setDigests(
	text: string,
	customer: string,
	digests: Iterable<ids.KeyDigest>,
): string {
	const keyLine = `key_digests = ${formatDigests(digests)}`;
	const lines = text.replace(/\n$/v, '').split(/\r?\n/v);
	const start = lines.findIndex(
		(line) =>
			sectionLinePattern.exec(line)?.groups?.section.trim() ===
			formatSectionName(customer),
	);
	if (start === -1) {
		const section = [`[${formatSectionName(customer)}]`, keyLine, ''];
		return [...(text === '' ? [] : [...lines, '']), ...section].join('\n');
	}

	const next = lines.findIndex(
		(line, index) => index > start && sectionLinePattern.test(line),
	);
	const end = next === -1 ? lines.length : next;
	const body = lines
		.slice(start + 1, end)
		.filter((line) => !keyLinePattern.test(line));
	return [
		...lines.slice(0, start + 1),
		keyLine,
		...body,
		...lines.slice(end),
		'',
	].join('\n');
}

function splitList(text: string): string[] {
	return text
		.split(',')
		.map((part) => part.trim())
		.filter((part) => part !== '');
}
