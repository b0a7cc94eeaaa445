/**
 * The probes of the failure detector: one peer per interval, directly and then through others, so that
 * the load of a peer does not grow with the number of peers.
 */
import type * as ids from '../ids.js';
import type * as membership from './types.js';

const probeIntervalMs = 500;
const directProbeTimeoutMs = 150;
const indirectProbeCount = 3;

/** What the prober needs of the membership. */
export type ProberHost = {
	readonly send: (
		to: ids.PeerId,
		message: membership.MembershipMessage,
	) => boolean;
	takeDeltas(): membership.Delta[];
	/** Live peers in random order, at most `count`. */
	chooseLivePeers(count: number, except: ids.PeerId | undefined): ids.PeerId[];
	isLive(peer: ids.PeerId): boolean;
	/** Records how long a direct probe took, in ms. */
	recordRoundTrip(peer: ids.PeerId, sampleMs: number): void;
	suspect(peer: ids.PeerId, now: number): void;
};

type Probe = {
	readonly target: ids.PeerId;
	readonly sentAt: number;
	isIndirect: boolean;
};

type RelayedProbe = {
	readonly requester: ids.PeerId;
	readonly sequence: number;
	readonly sentAt: number;
};

export class Prober {
	private probeOrder: ids.PeerId[] = [];
	private sequence = 0;
	private readonly probes = new Map<number, Probe>();
	private readonly relayedProbes = new Map<number, RelayedProbe>();
	private lastProbeAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly host: ProberHost) {}

	handleTick(now: number): void {
		this.expireProbes(now);
		if (now - this.lastProbeAt >= probeIntervalMs) {
			this.lastProbeAt = now;
			this.startProbe(now);
		}
	}

	/** Probes a peer on behalf of another one. */
	relayProbe(
		requester: ids.PeerId,
		requestSequence: number,
		target: ids.PeerId,
		now: number,
	): void {
		this.sequence++;
		this.relayedProbes.set(this.sequence, {
			requester,
			sequence: requestSequence,
			sentAt: now,
		});
		this.host.send(target, {
			type: 'ping',
			sequence: this.sequence,
			deltas: this.host.takeDeltas(),
		});
	}

	handleAck(
		message: Extract<membership.MembershipMessage, {type: 'ack'}>,
		now: number,
	): void {
		const relay = this.relayedProbes.get(message.sequence);
		if (relay) {
			this.relayedProbes.delete(message.sequence);
			this.host.send(relay.requester, {
				type: 'ack',
				sequence: relay.sequence,
				target: message.target,
				deltas: [],
			});
			return;
		}

		const probe = this.probes.get(message.sequence);
		if (probe?.target !== message.target) {
			return;
		}

		this.probes.delete(message.sequence);
		if (!probe.isIndirect) {
			this.host.recordRoundTrip(probe.target, now - probe.sentAt);
		}
	}

	private startProbe(now: number): void {
		const target = this.chooseProbeTarget();
		if (target === undefined) {
			return;
		}

		this.sequence++;
		this.probes.set(this.sequence, {target, sentAt: now, isIndirect: false});
		this.host.send(target, {
			type: 'ping',
			sequence: this.sequence,
			deltas: this.host.takeDeltas(),
		});
	}

	/** Chooses every live peer once, in random order, before it chooses one again. */
	private chooseProbeTarget(): ids.PeerId | undefined {
		for (;;) {
			if (this.probeOrder.length === 0) {
				this.probeOrder = this.host.chooseLivePeers(Infinity, undefined);
				if (this.probeOrder.length === 0) {
					return undefined;
				}
			}

			const target = this.probeOrder.pop()!;
			if (this.host.isLive(target)) {
				return target;
			}
		}
	}

	private expireProbes(now: number): void {
		for (const [sequence, probe] of this.probes) {
			const age = now - probe.sentAt;
			if (age > probeIntervalMs) {
				this.probes.delete(sequence);
				this.host.suspect(probe.target, now);
			} else if (age > directProbeTimeoutMs && !probe.isIndirect) {
				probe.isIndirect = true;
				for (const helper of this.host.chooseLivePeers(
					indirectProbeCount,
					probe.target,
				)) {
					this.host.send(helper, {
						type: 'pingRequest',
						sequence,
						target: probe.target,
						deltas: this.host.takeDeltas(),
					});
				}
			}
		}

		for (const [sequence, relay] of this.relayedProbes) {
			if (now - relay.sentAt > probeIntervalMs) {
				this.relayedProbes.delete(sequence);
			}
		}
	}
}
