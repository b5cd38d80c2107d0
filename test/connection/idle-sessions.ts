/**
 * Sessions of an agent that runs nothing, for tests of its links.
 */
import {createEntrySessions, type EntrySessions} from '../../src/connection/entry-sessions.js';
import {createResourceLimiter} from '../../src/connection/resource-limiter.js';
import type {Clock} from '../../src/process/clock.js';

/** Resources of its upstream. */
export const idleCapacity = {cpu: 1000, memory: 1, accelerators: 0};

/** Creates the sessions of the agent `a`. */
export function createIdleSessions(clock: Clock): EntrySessions {
	return createEntrySessions({
		clock,
		agent: {
			incarnation: 'a-1', name: 'a', upstream: 'u', service: 's', dataCentre: 'd', rack: 'r', slots: 1, capacity: idleCapacity,
		},
		retentionMs: 1000,
		maxRetainedBytes: 1000,
		run: () => undefined,
		stop: () => undefined,
		onOutputPending: () => undefined,
	}, createResourceLimiter({clock, notifyEntry: () => undefined}, idleCapacity));
}
