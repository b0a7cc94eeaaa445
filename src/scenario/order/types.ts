/**
 * Types of the search by order. A step is a point at which a process of the fleet has decided on an effect
 * and the effect has not happened yet. A schedule lets something come between the two.
 */
import type * as ids from '../../common/ids.js';
import type * as fleetTypes from '../fleet/fleet-types.js';

/** The steps of a process that have the same name, e.g. `callServer:promote`, are counted from 1. */
export type StepPoint = {
	readonly process: ids.PeerId;
	readonly step: string;
	readonly occurrence: number;
};

/** What happens to the process, or to the effect, at a step. */
export type Act =
	/** The process is frozen before the effect, which happens at the thaw. */
	| {readonly type: 'freeze'; readonly forMs: number}
	/** The process ends before the effect, which never happens, and starts again. */
	| {
			readonly type: 'kill';
			readonly forMs: number;
			readonly losesDisk: boolean;
	  }
	/** The effect happens later, as do those behind it on the same connection. */
	| {readonly type: 'hold'; readonly forMs: number}
	/** The disk of a control peer takes no more bytes, or is slow; the effect happens at once. */
	| {readonly type: 'fill' | 'slow'; readonly forMs: number}
	/** A replica receives nothing; the effect happens at once. */
	| {
			readonly type: 'deafen';
			readonly server: ids.UpstreamId;
			readonly forMs: number;
	  };

export type Interference = {readonly point: StepPoint; readonly act: Act};

export type Schedule = readonly Interference[];

/** A process at whose steps a schedule can act. */
export type GatedProcess = fleetTypes.FleetProcess & {
	readonly peer: ids.PeerId;
	/** Differs for each instance of the process. */
	readonly instance: number;
	/** Runs the handler now, or at the thaw of a frozen process; a dead process drops it. */
	receive(handler: () => void): void;
};

/** An effect at the time at which the process has decided on it. */
export type Step = {
	readonly name: string;
	/** Effects on the same connection keep their order. */
	readonly connection?: string | undefined;
	run(): void;
};

/** Lets the steps of processes happen, at once or as a schedule says. */
export type StepGate = {
	handle(process: GatedProcess, step: Step): void;
};
