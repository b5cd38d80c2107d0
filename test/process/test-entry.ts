/**
 * A whole entry on a fake clock, without connections.
 */
import type {ExecutionContext} from 'ava';
import {createEntry} from '../../src/process/entry.js';
import type {Entry, EntryHost} from '../../src/process/entry-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {noMetrics} from '../../src/process/metrics.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import {createPollingFollower, type ConfigFollower} from '../../src/version/polling-follower.js';
import {createSubmissionRecords} from '../failure/submission-records.js';
import {silentLog} from '../silent-log.js';

/** An entry and what it runs on. */
export type TestEntry = {
	readonly entry: Entry;
	readonly clock: FakeClock;
	readonly follower: ConfigFollower;
	/** Runs what the entry has deferred to the end of the turn. */
	runDeferred(): void;
};

/** Creates an entry that has not read the store; it is stopped at the end of the test. */
export function createTestEntry(t: ExecutionContext, overrides: Partial<EntryHost>): TestEntry {
	const clock = createFakeClock();
	const platform = createMemoryPlatform({clock});
	const deferred: Array<() => void> = [];
	const follower = createPollingFollower({
		platform, clock, random: () => 0, onDiagnostic: () => undefined,
	});
	const entry = createEntry({
		clock,
		settings: {
			name: 'e',
			dataCentre: 'd',
			rack: '',
			listen: {http: {host: '', port: 1}, links: {host: '', port: 2}},
			advertise: {http: {host: '', port: 1}, links: {host: '', port: 2}},
			platform: {url: '', timeoutMs: 1000},
			entry: {
				seeds: [], leaseMs: 1000, ticketLifetimeMs: 1000, blockMs: 1000, fateMemoryBytes: 1000, fateWritesPerSecond: 1, answerKeepMs: 1000, maxBodyBytes: 1000, maxTasks: 10, maxHeaderBytes: 1000, maxWaitMs: 1000, agentGraceMs: 1000, drainMs: 0,
			},
			log: {level: 'info'},
			metrics: {address: undefined, prefix: ''},
		},
		incarnation: 'e-1',
		platform,
		follower,
		recorder: createSubmissionRecords(clock, 'e-1', platform.objects).recorder,
		ticketKey: new Uint8Array(32),
		log: silentLog,
		metrics: noMetrics,
		authenticate() {
			throw new Error('no caller is expected');
		},
		areTokensLoaded: () => true,
		random: () => 0,
		onDeclaredDead: () => undefined,
		afterPoll(action) {
			deferred.push(action);
		},
		defer(action) {
			deferred.push(action);
		},
		...overrides,
	});
	t.teardown(entry.stop);
	return {
		entry, clock, follower, runDeferred,
	};

	function runDeferred(): void {
		for (const action of deferred.splice(0)) {
			action();
		}
	}
}
