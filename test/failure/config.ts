/**
 * The configuration of simulated runs.
 */
import type {Snapshot} from '../../src/version/types.js';

/** Names of the upstreams; the agent beside each bears the same name. */
export const upstreamNames = ['u1', 'u2', 'u3'] as const;

/** Slots of each upstream. */
export const slotsPerUpstream = 4;

/** Longest time to an answer. */
export const deadlineMs = 6000;

/** Builds a version in which the named upstreams take no new work. */
export function createSnapshot(version: number, drained: readonly string[]): Snapshot {
	return {
		version,
		services: new Map([['meals', {
			kind: 'service', name: 'meals', policy: 'standard', maxTasksPerJob: 100, maxPayload: 1000,
		}]]),
		upstreams: new Map(upstreamNames.map(name => [name, {
			kind: 'upstream', name, service: 'meals', slots: slotsPerUpstream, drain: drained.includes(name),
		}])),
		policies: new Map([['standard', {
			kind: 'policy', name: 'standard', placement: version % 2 === 0 ? 'response' : 'messages', maxQueuedTasks: 80,
			taskTimeout: 1500, deadline: deadlineMs, retryPercent: 20, hedgePercent: 0, recordBeforeStart: false,
		}]]),
		submissions: new Map([true, false].map(idempotent => [idempotent ? 'check' : 'order', {
			kind: 'submission', name: idempotent ? 'check' : 'order', service: 'meals', team: 'office', idempotent, deadline: deadlineMs, expectedRun: 200,
		}])),
		teams: new Map([['office', {
			kind: 'team', name: 'office', maxTasks: 100, weight: 1,
		}]]),
	};
}
