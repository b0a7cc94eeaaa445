/**
 * Passes the effects of processes through a gate, and names those that other processes or callers see.
 */
import type * as controlPeer from '../../common/control/peer.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as order from './types.js';

/** Without a name, nobody else sees the effect. */
export type EffectName = Partial<Pick<order.Step, 'name' | 'connection'>>;

/** Handles an effect through the gate, if there is one; a frozen process handles it at the thaw. */
export function handleEffect(
	gate: order.StepGate | undefined,
	process: order.GatedProcess,
	{name, connection}: EffectName,
	run: () => void,
): void {
	if (!gate) {
		run();
		return;
	}

	process.receive(() => {
		if (name === undefined) {
			run();
		} else {
			gate.handle(process, {name, connection, run});
		}
	});
}

export function describeControlEffect(
	effect: controlPeer.ControlPeerEffect,
): EffectName {
	switch (effect.type) {
		case 'callServer': {
			return effect.request.type === 'status'
				? {}
				: {name: `callServer:${effect.request.type}`};
		}

		case 'sendPeer': {
			return {name: `send:${effect.message.type}`, connection: effect.to};
		}

		case 'connectPeer':
		case 'write':
		case 'answerTemplateChange': {
			return {name: effect.type};
		}

		case 'answerConfigurationRead':
		case 'answerQuery':
		case 'disconnectPeer':
		case 'drained':
		case 'log':
		case 'setHealth': {
			return {};
		}
	}
}

export function describeProxyEffect(effect: proxy.ProxyEffect): EffectName {
	switch (effect.type) {
		case 'execute': {
			return {
				name: `execute:${effect.kind}`,
				connection: `upstream ${effect.connection}`,
			};
		}

		case 'sendPeer': {
			return {name: `send:${effect.message.type}`, connection: effect.to};
		}

		case 'finishRequest':
		case 'refuseRequest': {
			return {name: effect.type};
		}

		case 'answerTemplateChange':
		case 'cancelExecution':
		case 'closeConnection':
		case 'closeSession':
		case 'connectPeer':
		case 'countCustomer':
		case 'countEvent':
		case 'disconnectPeer':
		case 'drained':
		case 'log':
		case 'openConnection':
		case 'poll':
		case 'recordRequest':
		case 'resetConnection':
		case 'setHealth':
		case 'startAttempt':
		case 'stopPolling':
		case 'transactionLost':
		case 'watchPeer': {
			return {};
		}
	}
}
