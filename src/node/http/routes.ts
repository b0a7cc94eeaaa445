/**
 * Routes of the HTTP endpoints that docs/design.md specifies in "HTTP endpoints of each daemon".
 */
import type * as http from 'node:http';
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import type * as commonTypes from '../../common/types.js';
import type * as resourceGuard from '../limits/resource-guard.js';
import * as bodies from './bodies.js';
import type * as types from './types.js';

/** Longest accepted member name in a path, in characters. */
const maxMemberLength = 128;

type Handler = (
	request: http.IncomingMessage,
	guard: resourceGuard.ResourceGuard,
) => types.EndpointResponse | Promise<types.EndpointResponse>;

/** The handlers of one path by HTTP method. */
type Route = Readonly<Record<string, Handler>>;

/** Finds the handler of a request; throws `HttpError` with status 400, 404 or 405. */
export function findHandler(
	endpoints: types.DaemonEndpoints,
	method: string,
	path: string,
): Handler {
	const route = findRoute(endpoints, path);
	if (!route) {
		throw new bodies.HttpError(404, 'notFound', `There is no ${path}.`);
	}

	const handlerMethod = method === 'HEAD' ? 'GET' : method;
	if (!Object.hasOwn(route, handlerMethod)) {
		const allow = Object.keys(route).join(', ');
		throw new bodies.HttpError(
			405,
			'methodNotAllowed',
			`${path} allows ${allow}.`,
			{allow},
		);
	}

	return route[handlerMethod];
}

function findRoute(
	endpoints: types.DaemonEndpoints,
	path: string,
): Route | undefined {
	switch (path) {
		case '/announce': {
			const {handleAnnouncement} = endpoints;
			return (
				handleAnnouncement && {
					async POST(request, guard) {
						const announcement = await bodies.readBody(
							request,
							bodies.announcementSchema,
							guard,
						);
						handleAnnouncement(announcement as commonTypes.Announcement);
						return {status: 200, body: {}};
					},
				}
			);
		}

		case '/health': {
			return {
				GET() {
					const health = endpoints.readHealth();
					return {status: health.ready ? 200 : 503, body: health};
				},
			};
		}

		case '/metrics': {
			return {
				GET: () => ({
					status: 200,
					body: endpoints.metrics.formatText(),
					contentType: 'text/plain; version=0.0.4; charset=utf-8',
				}),
			};
		}

		case '/metrics.json': {
			return {
				GET: () => ({status: 200, body: endpoints.metrics.getSnapshot()}),
			};
		}

		case '/status': {
			return {GET: () => ({status: 200, body: endpoints.readStatus()})};
		}

		case '/drain': {
			return {
				POST() {
					endpoints.startDrain();
					return {status: 202, body: {draining: true}};
				},
			};
		}

		case '/templates': {
			return {
				GET: async () => ({
					status: 200,
					body: {templates: await endpoints.listTemplates()},
				}),
			};
		}

		default: {
			return findMemberRoute(endpoints, path);
		}
	}
}

function findMemberRoute(
	endpoints: types.DaemonEndpoints,
	path: string,
): Route | undefined {
	const match = /^\/templates\/(?<member>[^\/]+)(?<history>\/history)?$/v.exec(
		path,
	);
	if (!match?.groups) {
		return undefined;
	}

	const member = parseMember(match.groups.member);
	if (match.groups.history) {
		return {
			GET: async () => ({
				status: 200,
				body: {member, history: await endpoints.fetchHistory(member)},
			}),
		};
	}

	return {
		async GET() {
			const template = await endpoints.fetchTemplate(member);
			if (!template) {
				throw new bodies.HttpError(
					404,
					'noTemplate',
					`Member ${member} has no template.`,
				);
			}

			return {status: 200, body: template};
		},
		async PUT(request, guard) {
			const body = await bodies.readBody(request, bodies.changeSchema, guard);
			const result = await endpoints.requestTemplateChange({
				member,
				text: body.text,
				expectedVersion: body.expectedVersion,
				changeId: body.changeId as ids.ChangeId,
			});
			return buildChangeResponse(result);
		},
	};
}

function parseMember(text: string): ids.MemberId {
	let member: string;
	try {
		member = decodeURIComponent(text);
	} catch {
		throw new bodies.HttpError(400, 'invalidPath', 'The path is not UTF-8.');
	}

	if (member.length > maxMemberLength || /\p{Cc}/v.test(member)) {
		throw new bodies.HttpError(400, 'invalidMember', 'No such member name.');
	}

	return member as ids.MemberId;
}

function buildChangeResponse(
	result: commonTypes.TemplateChangeResult,
): types.EndpointResponse {
	switch (result.type) {
		case 'accepted': {
			return {status: 200, body: {version: result.version}};
		}

		case 'versionConflict': {
			const {currentVersion} = result;
			const message = `The current version is ${currentVersion}.`;
			return {
				status: 409,
				body: {error: {code: 'versionConflict', message, currentVersion}},
			};
		}

		case 'invalid': {
			const {problems} = result;
			const message = problems.join('; ');
			return {
				status: 422,
				body: {error: {code: 'invalidTemplate', message, problems}},
			};
		}

		case 'unavailable': {
			return result.mayHaveRun
				? buildUnknownOutcomeResponse()
				: {
						status: 503,
						body: {
							error: {
								code: 'unavailable',
								message:
									result.reason === 'storageExhausted'
										? 'The disks of the control peers are full; the change was not made.'
										: 'No control leader; the change was not made.',
							},
						},
					};
		}
	}

	return assertNever(result);
}

export function buildUnknownOutcomeResponse(): types.EndpointResponse {
	return {
		status: 504,
		body: {
			error: {
				code: 'outcomeUnknown',
				message: 'The outcome is unknown; resend with the same changeId.',
			},
		},
	};
}
