/**
 * Types of the limits that protect a process from its clients.
 */

import type * as proxy from '../../common/proxy/types.js';

/** A limit that acted. */
export type LimitReport = {
	readonly limit: proxy.LimitName;
	/** The listener whose client met the limit. */
	readonly listener: string;
};

export type ReportLimit = (report: LimitReport) => void;
