import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {createDesiredStateCodec, createDesiredStateSource} from '../../src/platform/desired-state.js';
import type {OperatorRow, RowChanges} from '../../src/platform/platform-client.js';
import {createUnreachableError} from '../../src/process/platform/errors.js';
import type {PlatformError} from '../../src/process/platform/types.js';
import {describe, it} from '../describe.js';
import {createOddBytes, oddInputRuns} from '../odd-input.js';

const state = {
	version: 7,
	routes: [{
		name: 'r-1', host: 'nony24.example', 'path-prefix': '/lohu930/', type: 'non_idempotent', 'timeout-ms': 1500, 'slo-ms': 60, priority: 2, upstream: 'huvo11a', attempts: 3, stretch: 1.6,
	}],
	upstreams: [{name: 'huvo11a', 'health-path': '/healthz', 'max-conns': 64}],
	limits: {'max-header-bytes': 16_384},
};

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

describe('desired state', () => {
	it('is decoded to a snapshot, and encoded for peers without any change', t => {
		const codec = createDesiredStateCodec();
		const snapshot = codec.decode(encode(state), 'test')._unsafeUnwrap();
		t.is(snapshot.version, 7);
		t.is(snapshot.submissions.get('r-1')?.service, 'huvo11a');
		t.deepEqual(snapshot.routes, [{
			host: 'nony24.example', pathPrefix: '/lohu930/', submission: 'r-1', deadline: 1500, attempts: 3, stretch: 1.6, margin: 60, priority: 2,
		}]);
		t.deepEqual(Buffer.from(codec.encode(snapshot)), Buffer.from(encode(state)));
	});

	it('is rejected if it is invalid or a route names an unknown service', t => {
		const codec = createDesiredStateCodec();
		t.true(codec.decode(Buffer.from('{'), 'test').isErr());
		t.true(codec.decode(encode({...state, version: 'x'}), 'test').isErr());
		t.true(codec.decode(encode({...state, upstreams: []}), 'test').isErr());
	});

	// Guards against a configuration that passes and then cannot be sent, or ends a timer of the runtime.
	it('is decoded with values in range or rejected, whatever the row contains, and the next one is decoded', t => {
		const codec = createDesiredStateCodec();
		fc.assert(fc.property(createOddBytes(state), bytes => {
			const decoded = codec.decode(bytes, 'test');
			if (decoded.isOk()) {
				t.true(Number.isSafeInteger(decoded.value.version) && decoded.value.version >= 0);
				for (const {deadline, margin} of decoded.value.routes ?? []) {
					t.true(deadline >= 0 && deadline <= 86_400_000 && margin >= 0 && margin <= 86_400_000);
				}
			}

			t.true(codec.decode(encode(state), 'test').isOk());
		}), oddInputRuns);
	});

	describe('source', () => {
		type Reply = ResultAsync<RowChanges, PlatformError>;

		type SourceFixture = {
			readonly next: () => Promise<string | undefined>;
			readonly reads: () => number;
			readonly requestedRevisions: number[];
			/** What the source has delivered, in order. */
			readonly delivered: unknown[];
			/** Rows that the store has beside the configuration. */
			rows: readonly OperatorRow[];
		};

		function createSource(changes: Reply[]): SourceFixture {
			let reads = 0;
			const requestedRevisions: number[] = [];
			const delivered: unknown[] = [];
			const source = createDesiredStateSource({
				client: {
					readOperatorRows(from, to) {
						reads++;
						const rows = [{name: 'config', text: `read ${reads}`}, ...fixture.rows];
						return okAsync({rows: rows.filter(({name}) => name >= from && name < to), revision: reads * 10});
					},
					waitForOperatorRows(after) {
						requestedRevisions.push(after);
						return changes.shift()!;
					},
				},
				onEvacuations({revision, dataCentres}) {
					delivered.push([revision, dataCentres]);
				},
			});
			const fixture: SourceFixture = {
				async next() {
					const found = await source.next();
					const text = found.map(bytes => bytes === undefined ? undefined : Buffer.from(bytes).toString()).unwrapOr('failed');
					delivered.push(text);
					return text;
				},
				reads: () => reads,
				requestedRevisions,
				delivered,
				rows: [],
			};
			return fixture;
		}

		it('reads the row once and then waits for changes after the newest revision', async t => {
			const source = createSource([
				okAsync({kind: 'changes', rows: [], revision: 12}),
				okAsync({kind: 'changes', rows: [{name: 'config', text: 'older'}, {name: 'other', text: 'x'}, {name: 'config', text: 'changed'}], revision: 15}),
				okAsync({kind: 'changes', rows: [{name: 'config', text: undefined}], revision: 15}),
			]);
			t.deepEqual([await source.next(), await source.next(), await source.next(), await source.next()], ['read 1', undefined, 'changed', undefined]);
			t.deepEqual(source.requestedRevisions, [10, 12, 15]);
			t.is(source.reads(), 1);
		});

		it('reads the row again when the store has lost its history, and after a failed wait', async t => {
			const source = createSource([
				okAsync({kind: 'history-lost'}),
				errAsync(createUnreachableError('away', false, 100)),
			]);
			t.deepEqual([await source.next(), await source.next(), await source.next(), await source.next()], ['read 1', 'read 2', 'failed', 'read 3']);
		});

		it('delivers the evacuated data centres before the configuration, and then their changes', async t => {
			const source = createSource([
				okAsync({kind: 'changes', rows: [{name: 'evacuate/b/2', text: ''}, {name: 'config', text: 'changed'}], revision: 12}),
				okAsync({kind: 'changes', rows: [{name: 'config', text: 'again'}], revision: 13}),
				okAsync({kind: 'changes', rows: [{name: 'evacuate/a', text: undefined}, {name: 'evacuate/c', text: '{'}, {name: 'evacuate/c', text: undefined}], revision: 14}),
			]);
			source.rows = [{name: 'evacuate/', text: 'names nothing'}, {name: 'evacuate/a', text: 'not JSON'}, {name: 'wave/1', text: '{}'}];
			for (let i = 0; i < 4; i++) {
				await source.next();
			}

			t.deepEqual(source.delivered, [[10, ['a']], 'read 1', [12, ['a', 'b/2']], 'changed', 'again', [14, ['b/2']], undefined]);
		});

		it('reads the evacuations whole when the store has lost its history, and after a failed wait', async t => {
			const source = createSource([
				okAsync({kind: 'history-lost'}),
				errAsync(createUnreachableError('away', false, 100)),
			]);
			source.rows = [{name: 'evacuate/a', text: ''}];
			await source.next();
			source.rows = [{name: 'evacuate/b', text: ''}];
			await source.next();
			// Taken back while the store could not be reached.
			await source.next();
			source.rows = [];
			await source.next();
			t.deepEqual(source.delivered, [[10, ['a']], 'read 1', [20, ['b']], 'read 2', 'failed', [30, []], 'read 3']);
		});
	});
});
