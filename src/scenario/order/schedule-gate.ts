/**
 * A gate that acts at the steps that a schedule names, and records the steps that it has seen. Steps are
 * counted only while the gate is armed, so that a schedule begins at the fault that a history is about.
 */
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import type * as timeline from '../fleet/timeline.js';
import type * as order from './types.js';

export type ScheduleGateOptions = {
	readonly schedule: order.Schedule;
	readonly timeline: timeline.Timeline;
	/** Lets the disk of a control peer refuse or delay writes for some time. */
	readonly disturbDisk: (
		process: ids.PeerId,
		kind: 'fill' | 'slow',
		forMs: number,
	) => void;
	/** Lets a replica receive nothing for some time. */
	readonly deafen: (server: ids.UpstreamId, forMs: number) => void;
};

export class ScheduleGate implements order.StepGate {
	isArmed = false;
	/** The steps that were seen while the gate was armed, in order, with the time of each. */
	readonly seen: Array<{readonly at: number; readonly point: order.StepPoint}> =
		[];

	private readonly counts = new Map<string, number>();
	/** The effects behind a held one, by process and connection. */
	private readonly heldSteps = new Map<string, Array<() => void>>();

	constructor(private readonly options: ScheduleGateOptions) {}

	handle(process: order.GatedProcess, step: order.Step): void {
		const connection = `${process.peer}/${step.connection ?? ''}`;
		const held =
			step.connection === undefined
				? undefined
				: this.heldSteps.get(connection);
		const act = this.isArmed
			? this.findAct(process.peer, step.name)
			: undefined;
		if (held) {
			held.push(() => {
				step.run();
			});
			return;
		}

		switch (act?.type) {
			case undefined: {
				step.run();
				return;
			}

			case 'freeze': {
				this.freeze(process, act.forMs);
				process.receive(() => {
					step.run();
				});
				return;
			}

			case 'kill': {
				process.kill();
				this.options.timeline.schedule(act.forMs, () => {
					if (process.condition === 'dead') {
						process.restart(act.losesDisk);
					}
				});
				return;
			}

			case 'hold': {
				this.hold(process, connection, act.forMs, step);
				return;
			}

			case 'fill':
			case 'slow': {
				this.options.disturbDisk(process.peer, act.type, act.forMs);
				step.run();
				return;
			}

			case 'deafen': {
				this.options.deafen(act.server, act.forMs);
				step.run();
				return;
			}

			default: {
				assertNever(act);
			}
		}
	}

	/** Counts the step and returns what the schedule does at it. */
	private findAct(process: ids.PeerId, step: string): order.Act | undefined {
		const key = `${process} ${step}`;
		const occurrence = (this.counts.get(key) ?? 0) + 1;
		this.counts.set(key, occurrence);
		const {schedule, timeline} = this.options;
		this.seen.push({at: timeline.now, point: {process, step, occurrence}});
		return schedule.find(
			({point}) =>
				point.process === process &&
				point.step === step &&
				point.occurrence === occurrence,
		)?.act;
	}

	private freeze(process: order.GatedProcess, forMs: number): void {
		process.freeze();
		this.options.timeline.schedule(forMs, () => {
			if (process.condition === 'frozen') {
				process.thaw();
			}
		});
	}

	private hold(
		process: order.GatedProcess,
		connection: string,
		forMs: number,
		step: order.Step,
	): void {
		const {instance} = process;
		const steps = [
			() => {
				step.run();
			},
		];
		if (step.connection !== undefined) {
			this.heldSteps.set(connection, steps);
		}

		this.options.timeline.schedule(forMs, () => {
			if (step.connection !== undefined) {
				this.heldSteps.delete(connection);
			}

			// What a process has written leaves its host also while the process is frozen.
			if (process.condition !== 'dead' && process.instance === instance) {
				for (const run of steps) {
					run();
				}
			}
		});
	}
}
