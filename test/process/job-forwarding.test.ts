import {ForwardedJob} from '../../src/generated/kingcuplane.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createJobForwarding, declinedResult} from '../../src/process/job-forwarding.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';
import {createRecordingLog} from '../recording-log.js';

const job = ForwardedJob.fromPartial({
	host: 'h.example', path: '/jobs/1', body: new Uint8Array([1]), timeLeftMs: 5, configVersion: 1,
});

describe('forwarding of jobs', () => {
	// Guards against a client that is told that its job failed unexpectedly, although the entry that it asked could serve it.
	it('declines a job that cannot be read, and serves the next one', async t => {
		const {log, lines} = createRecordingLog();
		const served: ForwardedJob[] = [];
		const forwarding = createJobForwarding({
			log,
			metrics: noMetrics,
			clock: createFakeClock(),
			random: () => 0,
			loadMonitor: {
				getLoad: () => ({utilization: 0, delay: 0}), takeMaxDelay: () => 0, onSample: () => undefined, stop: () => undefined,
			},
			async serveForwardedJob(received) {
				served.push(received);
				return {status: 200, body: new Uint8Array(), retryAfterMs: 0};
			},
			peers: {tryStartRequest: () => undefined, getLoadReports: () => []},
			isServing: () => true,
			areStartsHeld: () => false,
		});
		const serve = async (body: Uint8Array) => forwarding.serve({
			id: 7, operation: 'job', ticket: '', principal: '', body, timeoutMs: 5,
		}, {onCancelled: () => undefined});
		for (const body of [[0xFF], [0x0A, 0x7F], [0x28, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0x7F]]) {
			t.deepEqual(await serve(new Uint8Array(body)), declinedResult);
		}

		t.is(lines.length, 3);
		t.like(lines[0], {id: 7});
		const reply = await serve(ForwardedJob.encode(job).finish());
		t.is(reply.status, 200);
		t.is(served.length, 1);
	});
});
