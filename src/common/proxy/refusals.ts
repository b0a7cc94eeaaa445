/**
 * SQLSTATE of each refusal. Class HK and 28000 mean that the request did not run; 08007 means that
 * its outcome is unknown.
 */
import type * as types from '../types.js';

export const unknownOutcomeSqlState = '08007';
export const connectionLostSqlState = '08006';
export const adminShutdownSqlState = '57P01';

const sqlStates: Readonly<Record<types.RefusalReason, string>> = {
	queueFull: 'HK001',
	deadline: 'HK002',
	tooStale: 'HK003',
	noPrimary: 'HK004',
	draining: 'HK005',
	noServer: 'HK006',
	memberLimit: 'HK007',
	keyUsed: 'HK008',
	noTemplate: '28000',
	unknownKey: '28P01',
	rateLimit: 'HK009',
	readOnlyServer: 'HK004',
	cancelled: '57014',
};

/** Returns the SQLSTATE that callers see for a refusal. */
export function getRefusalSqlState(reason: types.RefusalReason): string {
	return sqlStates[reason];
}
