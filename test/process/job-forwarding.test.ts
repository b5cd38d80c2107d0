import {declinedResult, createJobForwarding, type JobForwarding} from '../../src/process/job-forwarding.js';
import {ForwardedJob} from '../../src/generated/kingcuplane.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

const served = {status: 200, body: new Uint8Array(), retryAfterMs: 0};
const req = {
	id: 1, operation: 'job', ticket: '', principal: '', timeoutMs: 1500, body: ForwardedJob.encode({
		host: 'h', path: '/jobs/0123456789abcdef', body: new Uint8Array(), timeLeftMs: 1500, configVersion: 7,
	}).finish(),
};
const neverCancelled = {onCancelled: () => undefined};

function createForwarding(areStartsHeld: boolean): JobForwarding {
	return createJobForwarding({
		log: silentLog,
		metrics: noMetrics,
		clock: createFakeClock(),
		random: () => 0,
		isServing: () => true,
		areStartsHeld: () => areStartsHeld,
		loadMonitor: {
			getLoad: () => ({utilization: 0.1, delay: 0}), takeMaxDelay: () => 0, onSample: () => undefined, stop: () => undefined,
		},
		serveForwardedJob: async () => served,
		peers: {getLoadReports: () => [], tryStartRequest: () => undefined},
	});
}

describe('a job that this entry has forwarded and not sent yet', () => {
	// Issue 40: an entry that stood still between deciding and sending had a job started whose client had left.
	it('is declined if this process stood still since, so that it is served here once all input is read', t => {
		t.is(createForwarding(true).tryAnswerUnsent(req), declinedResult);
		t.is(createForwarding(false).tryAnswerUnsent(req), undefined);
	});

	it('does not concern other requests', t => {
		t.is(createForwarding(true).tryAnswerUnsent({...req, operation: 'snapshot'}), undefined);
	});
});

describe('a job that another entry has forwarded', () => {
	it('is served', async t => {
		t.deepEqual(await createForwarding(false).serve(req, neverCancelled), served);
	});

	// Issue 40: it may have waited while this process stood still, and its sender have given it up. A sender that waits serves it itself.
	it('is declined while input may be unread that arrived during a pause', async t => {
		t.is(await createForwarding(true).serve(req, neverCancelled), declinedResult);
	});
});
