/**
 * The settings of one process, and the problems of a settings file. Each process has its own INI
 * file; docs/configuration.md describes every key.
 */
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/types.js';

export type ProcessRole = 'proxy' | 'control';

/** A control peer and the address of its peer listener. */
export type ControlPeer = {
	readonly id: ids.PeerId;
	/** `ip:port`. */
	readonly address: string;
};

export type LogFormat = 'json' | 'text';

/** The validated settings of a process. */
export type Settings = {
	readonly process: {
		readonly id: ids.PeerId;
		readonly role: ProcessRole;
		readonly vm: ids.VmId;
		readonly dataCentre: ids.DataCentre;
		readonly region: string;
		/** Folder of the log, the vote and the snapshots; set for control only. */
		readonly dataFolder: string | undefined;
	};
	readonly listen: {
		/** IP address of all listeners. */
		readonly address: string;
		/** Port of the PostgreSQL listener; set for proxies only. */
		readonly callersPort: number | undefined;
		readonly peersPort: number;
		readonly httpPort: number;
	};
	readonly control: {
		/** Control peers that the process knows when it starts. */
		readonly peers: readonly ControlPeer[];
	};
	readonly limits: {
		/** Longest time that a drain waits for open transactions, in ms. */
		readonly drainDeadlineMs: number;
		/** Limit on the caller connections of one proxy. */
		readonly maxConnections: number;
		/** Memory of the process; its buffers take a share of it. */
		readonly memoryBytes?: number;
		/** Space for the data folder of a control peer. */
		readonly diskBytes?: number;
	};
	readonly log: {
		readonly level: types.LogLevel;
		readonly format: LogFormat;
	};
};

/** A problem in a settings file. */
export type SettingsProblem = {
	readonly file: string;
	/** Section name without brackets; empty outside of a section. */
	readonly section: string;
	/** Empty when the section is not allowed, a line has no key, or the file cannot be read. */
	readonly key: string;
	readonly found: string;
	readonly allowed: string;
};
