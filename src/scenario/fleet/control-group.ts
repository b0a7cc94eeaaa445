/**
 * A group of control peers in virtual time whose VMs are killed, cut off, frozen, wiped and replaced. Like
 * settings files, the settings of a process name three control peers of a list that lags.
 */
import type * as ids from '../../common/ids.js';
import * as random from '../../common/random.js';
import type * as types from '../../common/types.js';
import * as controlProcess from './control-process.js';
import * as links from './links.js';
import * as timeline from './timeline.js';

/** One way between two regions, in ms. */
const linkDelayMs = 6;
const seedCount = 3;
/** The list from which settings are written is this old, in ms. */
const seedLagMs = 3000;
const maxLossMs = 5000;
const maxLossCount = 12;
/** Longest pause between two losses, in ms. */
const maxPauseMs = 6000;
/** Within this time after the last loss, a peer must lead, in ms. */
const electionMs = 12_000;
/** A VM that is back counts as lost for this long, in ms. */
const catchUpMs = 4000;
/** All processes of a first start have started within this time, in ms. */
const maxStartMs = 300;

export type ControlGroupOptions = {
	readonly size: number;
	/** VMs that may be lost at the same time. */
	readonly toleratedLosses: number;
	readonly seed: number;
};

export class ControlGroup {
	readonly timeline = new timeline.Timeline();
	readonly links: links.Links;
	readonly processes: controlProcess.ControlProcess[] = [];
	readonly random: random.RandomSource;
	/** What was done, with its time, for the report of a failure. */
	readonly history: string[] = [];
	/** The highest version of the template that was acknowledged. */
	acknowledgedVersion = 0;
	private readonly lostUntil = new Map<ids.PeerId, number>();
	/** The peers by the time from which they are listed. */
	private listings: Array<{at: number; peers: readonly ids.PeerId[]}> = [];
	private nextPeer = 1;

	constructor(private readonly options: ControlGroupOptions) {
		this.random = random.createRandom(options.seed);
		this.links = new links.Links(this.timeline, () => linkDelayMs);
		const first = Array.from(
			{length: options.size},
			(_, index) => `c${index + 1}` as ids.PeerId,
		);
		const seeds = random.drawSample(this.random, first, seedCount);
		for (const peer of first) {
			this.addProcess(peer, seeds, true);
		}

		this.nextPeer = options.size + 1;
		this.updateListing(0);
	}

	get leader(): controlProcess.ControlProcess | undefined {
		return this.processes.find(({isLeader}) => isLeader);
	}

	/** Ends a process during the first start of the group; the platform starts it again with an empty disk. */
	killAtStart(): void {
		this.run(this.random.readInteger(1, maxStartMs));
		const [process] = random.drawSample(this.random, this.processes, 1);
		const durationMs = this.random.readInteger(50, maxLossMs);
		this.lostUntil.set(
			process.peer,
			this.timeline.now + durationMs + catchUpMs,
		);
		this.restart(process, durationMs, true);
	}

	run(durationMs: number): void {
		this.timeline.runUntil(this.timeline.now + durationMs);
	}

	/** Loses a running VM for a while in a random way, unless as many as allowed are lost already. */
	loseRandomVm(): void {
		const {now} = this.timeline;
		const lost = [...this.lostUntil].filter(([, until]) => until > now);
		const candidates = this.processes.filter(
			({peer, condition}) =>
				condition === 'up' && !lost.some(([other]) => other === peer),
		);
		if (lost.length >= this.options.toleratedLosses || candidates.length < 2) {
			return;
		}

		const process =
			candidates[this.random.readInteger(0, candidates.length - 1)];
		const durationMs = this.random.readInteger(50, maxLossMs);
		this.lostUntil.set(process.peer, now + durationMs + catchUpMs);
		switch (this.random.readInteger(0, 4)) {
			case 0: {
				this.restart(process, durationMs, false);
				return;
			}

			case 1: {
				this.restart(process, durationMs, true);
				return;
			}

			case 2: {
				this.replace(process, durationMs);
				return;
			}

			case 3: {
				this.record(`freeze ${process.peer} for ${durationMs}`);
				process.freeze();
				this.timeline.schedule(durationMs, () => {
					if (process.condition === 'frozen') {
						process.thaw();
					}
				});
				return;
			}

			default: {
				this.record(`cut ${process.peer} for ${durationMs}`);
				for (const other of this.processes) {
					this.links.cut(process.peer, other.peer);
				}

				this.timeline.schedule(durationMs, () => {
					this.links.heal();
				});
			}
		}
	}

	/** Kills all processes at once, and as many disks as may be lost. */
	restartAll(isDiskLost: boolean): void {
		this.record(`restart all${isDiskLost ? ', some without their disk' : ''}`);
		const wiped = isDiskLost
			? random.drawSample(
					this.random,
					this.processes,
					this.options.toleratedLosses,
				)
			: [];
		for (const process of this.processes) {
			if (process.condition !== 'dead') {
				this.restart(
					process,
					this.random.readInteger(20, 1000),
					wiped.includes(process),
				);
			}
		}
	}

	/** Stores the next version of the template through any process that runs. */
	changeTemplate(): void {
		const [process] = random.drawSample(
			this.random,
			this.processes.filter(({condition}) => condition === 'up'),
			1,
		);
		const expectedVersion = this.acknowledgedVersion;
		const change: types.TemplateChange = {
			member: 'm' as ids.MemberId,
			text: `[member]\nmax_sessions = ${1000 + expectedVersion}\n`,
			expectedVersion,
			changeId: `change-${expectedVersion}` as ids.ChangeId,
		};
		process?.requestChange(change, (result) => {
			if (result.type === 'accepted') {
				this.acknowledgedVersion = Math.max(
					this.acknowledgedVersion,
					result.version,
				);
			}
		});
	}

	private restart(
		process: controlProcess.ControlProcess,
		durationMs: number,
		isDiskLost: boolean,
	): void {
		this.record(
			`restart ${process.peer} after ${durationMs}${isDiskLost ? ' without its disk' : ''}`,
		);
		process.kill();
		this.timeline.schedule(durationMs, () => {
			if (process.condition === 'dead' && this.processes.includes(process)) {
				process.controlPeers = this.drawSeeds();
				process.restart(isDiskLost);
			}
		});
	}

	/** Removes a VM for good; another one with an empty disk takes its place. */
	private replace(
		process: controlProcess.ControlProcess,
		durationMs: number,
	): void {
		const peer = `c${this.nextPeer++}` as ids.PeerId;
		this.record(`replace ${process.peer} by ${peer} after ${durationMs}`);
		process.kill();
		this.processes.splice(this.processes.indexOf(process), 1);
		this.updateListing(this.timeline.now + seedLagMs);
		this.timeline.schedule(durationMs, () => {
			this.addProcess(peer, this.drawSeeds(), false);
			this.updateListing(this.timeline.now + seedLagMs);
		});
	}

	private drawSeeds(): ids.PeerId[] {
		const listing = this.listings.findLast(({at}) => at <= this.timeline.now);
		return random.drawSample(this.random, listing?.peers ?? [], seedCount);
	}

	private updateListing(at: number): void {
		this.listings = [
			...this.listings,
			{at, peers: this.processes.map(({peer}) => peer)},
		];
	}

	private addProcess(
		peer: ids.PeerId,
		controlPeers: readonly ids.PeerId[],
		mayBootstrap: boolean,
	): void {
		const process = new controlProcess.ControlProcess(
			{
				peer,
				dataCentre: `dc-${peer}` as ids.DataCentre,
				controlPeers,
				mayBootstrap,
				wantedVoters: 2 * this.options.toleratedLosses + 1,
				seed: this.random.readInteger(1, 2 ** 30),
			},
			this.timeline,
			this.links,
			new Map(),
			() => undefined,
		);
		this.links.addProcess(process);
		this.processes.push(process);
	}

	private record(text: string): void {
		this.history.push(`${this.timeline.now} ${text}`);
	}
}

/**
 * Runs a group of six control peers through random losses, at most two at a time, and then restarts all of
 * them if `endsWithRestart` is set.
 *
 * @returns What does not hold some seconds after the last loss.
 */
export function runRandomLosses(
	seed: number,
	endsWithRestart: boolean,
): string[] {
	const group = new ControlGroup({size: 6, toleratedLosses: 2, seed});
	group.run(electionMs);
	const lossCount = group.random.readInteger(1, maxLossCount);
	for (let index = 0; index < lossCount; index++) {
		group.loseRandomVm();
		group.run(group.random.readInteger(100, maxPauseMs));
		group.changeTemplate();
	}

	group.run(group.random.readInteger(maxLossMs, maxLossMs + catchUpMs));
	if (endsWithRestart) {
		group.restartAll(group.random.readFloat() < 0.5);
	}

	group.run(electionMs);
	return describeProblem(group);
}

/**
 * Starts three control peers, one of which ends during its start and loses what it has stored; then random
 * losses follow, one at a time.
 *
 * @returns What does not hold after the start, or some seconds after the last loss.
 */
export function runInterruptedStart(seed: number): string[] {
	const group = new ControlGroup({size: 3, toleratedLosses: 1, seed});
	group.killAtStart();
	group.run(electionMs);
	group.changeTemplate();
	group.run(catchUpMs);
	const problem = describeProblem(group);
	if (problem.length > 0 || group.acknowledgedVersion === 0) {
		return ['the group did not start', ...problem];
	}

	for (let index = 0; index < 3; index++) {
		group.loseRandomVm();
		group.run(maxLossMs + catchUpMs);
		group.changeTemplate();
	}

	group.run(electionMs);
	return describeProblem(group);
}

/** Returns what does not hold although nothing is lost any more, with what was done before. */
function describeProblem(group: ControlGroup): string[] {
	const {leader, acknowledgedVersion} = group;
	const version = leader?.machine.listTemplates()[0]?.template.version ?? 0;
	const problem =
		leader === undefined
			? 'no peer leads'
			: version < acknowledgedVersion
				? `version ${acknowledgedVersion} was acknowledged, the leader has ${version}`
				: undefined;
	return problem === undefined ? [] : [problem, ...group.history];
}
