/**
 * Choices that `choice-replay.ts` compares: the one of the product, what it was weighed against, and one
 * with perfect knowledge.
 */
import * as waitLimit from '../common/policy/wait-limit.js';
import type * as replay from './choice-replay.js';
import type * as random from './random.js';

/** Mean time between the ends of two statements of a busy server. */
const msPerRequest = 3.5;

/** Preference for the near server, as in the routing policy. */
const localAdvantageMs = 5;
const nearRoundTripMs = 10;

/** A server is preferred to a nearer one only if it costs less by this. */
const choiceMarginMs = 10;

type Costs = readonly number[];

/** Least cost as last heard. */
export const chooseReported: replay.Choice = (servers, source) =>
	choose(findLeast(computeCosts(servers, false), source));

/** Least cost with the work that the entry itself has placed since. */
export const chooseCounted: replay.Choice = (servers, source) =>
	choose(findLeast(computeCosts(servers, true), source));

/** The cheaper one of two servers drawn at random; within a margin, the nearer one. */
export const chooseOfTwo: replay.Choice = (servers, source) => {
	const costs = computeCosts(servers, true);
	const first = source.drawIndex(servers.length);
	const second =
		(first + 1 + source.drawIndex(servers.length - 1)) % servers.length;
	const isFirstNear = servers[first].distanceMs <= servers[second].distanceMs;
	const [near, far] = isFirstNear ? [first, second] : [second, first];
	return choose(costs[far] + choiceMarginMs < costs[near] ? far : near);
};

/**
 * At random in proportion to the room below a level, which lies above the least cost by the age of what
 * is known.
 */
export const chooseByRoom: replay.Choice = (servers, source) => {
	const costs = computeCosts(servers, true);
	const least = Math.min(...costs);
	const rooms = servers.map(({waitAgeMs}, index) =>
		Math.max(0, least + Math.min(200, waitAgeMs) - costs[index]),
	);
	const sum = rooms.reduce((total, room) => total + room, 0);
	let left = source.drawUniform() * sum;
	const drawn = rooms.findIndex((room) => {
		left -= room;
		return left < 0;
	});
	return choose(drawn === -1 ? findLeast(costs, source) : drawn);
};

/** The nearest server that has granted a share which is not used up, else the least cost. */
export const chooseByShares: replay.Choice = (servers, source) => {
	const costs = computeCosts(servers, true);
	const distances = servers.map(({distanceMs, sinceReport, share}) =>
		sinceReport < share ? distanceMs : Infinity,
	);
	return choose(
		distances.some((distanceMs) => distanceMs < Infinity)
			? findLeast(distances, source)
			: findLeast(costs, source),
	);
};

/** Least cost, with a limit from which the owner returns the request. */
export const chooseLimited: replay.Choice = (servers, source) => {
	const costs = computeCosts(servers, true);
	const server = findLeast(costs, source);
	const rated = servers.map(({distanceMs}, index) => ({
		costMs: costs[index],
		waitMs: costs[index] - computeDistance(distanceMs),
	}));
	return {
		server,
		maxWaitMs:
			waitLimit.computeWaitLimit(
				rated[server],
				rated.filter((_, index) => index !== server),
			) ?? Infinity,
	};
};

/** Least cost as it is at the moment of the choice. */
export const choosePerfectly: replay.Choice = (servers, source, trueWaitsMs) =>
	choose(
		findLeast(
			servers.map(
				({distanceMs}, index) =>
					trueWaitsMs[index] + computeDistance(distanceMs),
			),
			source,
		),
	);

function choose(server: number): replay.Chosen {
	return {server, maxWaitMs: Infinity};
}

function computeCosts(
	servers: readonly replay.KnownServer[],
	countsPlaced: boolean,
): Costs {
	return servers.map(
		({waitMs, placed, distanceMs}) =>
			waitMs +
			(countsPlaced ? placed * msPerRequest : 0) +
			computeDistance(distanceMs),
	);
}

function computeDistance(distanceMs: number): number {
	return distanceMs + (distanceMs > nearRoundTripMs ? localAdvantageMs : 0);
}

/** Finds the least cost; equal ones have equal chances. */
function findLeast(costs: Costs, source: random.RandomStream): number {
	const start = source.drawIndex(costs.length);
	let best = start;
	for (let offset = 1; offset < costs.length; offset++) {
		const index = (start + offset) % costs.length;
		if (costs[index] < costs[best]) {
			best = index;
		}
	}

	return best;
}
