/** Writes an HTML page with SVG plots of the measured runs. */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import type * as hdr from 'hdr-histogram-js';
import * as types from '../common/types.js';
import type {CaseResult} from './cases.js';
import type {ComparedResult} from './main.js';
import {timelineIntervalMs, type Recorder} from './recorder.js';

const plotWidthPx = 420;
const plotHeightPx = 160;
const plotMarginPx = 36;

const rankColours: Readonly<Record<types.Rank, string>> = {
	urgent: '#b3261e',
	normal: '#1d5fa8',
	background: '#5f6b6d',
};

/** Percentiles of the latency plots. */
const percentiles = [1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9];

type Point = readonly [x: number, y: number];

type Series = {
	readonly name: string;
	readonly colour: string;
	readonly points: readonly Point[];
};

/** Writes `index.html` into the folder. */
export async function writeReport(
	folder: string,
	results: readonly ComparedResult[],
	seed: number,
): Promise<void> {
	await fs.mkdir(folder, {recursive: true});
	await fs.writeFile(
		path.join(folder, 'index.html'),
		renderPage(results, seed),
	);
}

function renderPage(results: readonly ComparedResult[], seed: number): string {
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>hemlockarch bench, seed ${seed}</title>
<style>
body {font: 14px sans-serif; margin: 2em; max-width: 70em}
td, th {padding: 0.1em 0.8em; text-align: left}
svg {border: 1px solid #ccc; margin: 0.3em}
text {font: 10px sans-serif}
</style>
<h1>hemlockarch bench, seed ${seed}</h1>
${results.map((result) => renderResult(result)).join('\n')}
</html>
`;
}

function renderResult(result: ComparedResult): string {
	const rows = result.policy.measures
		.map(
			(measure, index) =>
				`<tr><td>${measure.name}</td><td>${escapeText(measure.target)}</td><td>${measure.value.toFixed(4)}</td><td>${result.naive.measures[index].value.toFixed(4)}</td><td>${measure.isMet ? 'yes' : 'no'}</td></tr>`,
		)
		.join('\n');
	return `<h2>${result.benchCase.name}, ${result.deployment.name}</h2>
<p>${result.benchCase.description}</p>
<table><tr><th>measure</th><th>target</th><th>measured</th><th>naive</th><th>met</th></tr>
${rows}</table>
${renderRun('hemlockarch', result.policy)}
${renderRun('naive', result.naive)}`;
}

function renderRun(name: string, {run}: CaseResult): string {
	const {recorder} = run;
	return `<h3>${name}</h3>
${renderPlot('answers within the deadline per second, by send time (s)', buildTimelineSeries(recorder))}
${renderPlot('latency (ms) by percentile', buildPercentileSeries(recorder))}
${renderDistribution(recorder)}`;
}

function buildTimelineSeries(recorder: Recorder): Series[] {
	return types.ranks.map((rank) => ({
		name: rank,
		colour: rankColours[rank],
		points: recorder.timeline.map((point, index) => [
			(index * timelineIntervalMs) / 1000,
			(point[rank].onTime * 1000) / timelineIntervalMs,
		]),
	}));
}

function buildPercentileSeries(recorder: Recorder): Series[] {
	return types.ranks
		.filter((rank) => recorder.latencies[rank].totalCount > 0)
		.map((rank) => ({
			name: rank,
			colour: rankColours[rank],
			points: percentiles.map((percentile) => [
				percentile,
				recorder.latencies[rank].getValueAtPercentile(percentile) / 1000,
			]),
		}));
}

/** Plots the share of answers in each doubling of the latency. */
function renderDistribution(recorder: Recorder): string {
	const series = types.ranks
		.filter((rank) => recorder.latencies[rank].totalCount > 0)
		.map((rank) => ({
			name: rank,
			colour: rankColours[rank],
			points: computeDistribution(recorder, rank),
		}));
	return renderPlot('share of answers by log2 of latency (ms)', series);
}

function computeDistribution(recorder: Recorder, rank: types.Rank): Point[] {
	const histogram = recorder.latencies[rank];
	const points: Point[] = [];
	let previousShare = 0;
	for (let exponent = 0; exponent <= 14; exponent++) {
		const cumulativeShare = estimateShareBelow(histogram, 1000 * 2 ** exponent);
		points.push([exponent, cumulativeShare - previousShare]);
		previousShare = cumulativeShare;
	}

	return points;
}

/** Estimates the share of values up to `value` by bisection over the percentiles. */
function estimateShareBelow(histogram: hdr.Histogram, value: number): number {
	let low = 0;
	let high = 100;
	for (let step = 0; step < 16; step++) {
		const middle = (low + high) / 2;
		if (histogram.getValueAtPercentile(middle) <= value) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return high / 100;
}

function renderPlot(title: string, series: readonly Series[]): string {
	const points = series.flatMap((line) => line.points);
	const maxX = Math.max(1, ...points.map(([x]) => x));
	const maxY = Math.max(Number.MIN_VALUE, ...points.map(([, y]) => y));
	const toX = (x: number) =>
		plotMarginPx + (x / maxX) * (plotWidthPx - 2 * plotMarginPx);
	const toY = (y: number) =>
		plotHeightPx -
		plotMarginPx -
		(y / maxY) * (plotHeightPx - 2 * plotMarginPx);
	const lines = series.map((line, index) => {
		const path = line.points
			.map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`)
			.join(' ');
		return `<polyline fill="none" stroke="${line.colour}" points="${path}"/><text x="${plotWidthPx - plotMarginPx - 60}" y="${plotMarginPx + 12 * index}" fill="${line.colour}">${line.name}</text>`;
	});
	return `<svg width="${plotWidthPx}" height="${plotHeightPx}" role="img">
<text x="${plotMarginPx}" y="14">${title}</text>
<line x1="${plotMarginPx}" y1="${toY(0)}" x2="${plotWidthPx - plotMarginPx}" y2="${toY(0)}" stroke="#888"/>
<text x="2" y="${toY(maxY) + 4}">${formatNumber(maxY)}</text>
<text x="${plotWidthPx - plotMarginPx}" y="${plotHeightPx - plotMarginPx + 14}">${formatNumber(maxX)}</text>
${lines.join('\n')}
</svg>`;
}

function formatNumber(value: number): string {
	return value >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function escapeText(text: string): string {
	return text.replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
