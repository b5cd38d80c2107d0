import type {PeerHub} from '../../src/connection/peer-hub.js';
import {declinedResult, createJobForwarding, type JobForwarding} from '../../src/process/job-forwarding.js';
import {ForwardedJob, type RelayReply} from '../../src/generated/kingcuplane.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import type {Log} from '../../src/process/log.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';
import {createRecordingLog} from '../recording-log.js';
import {silentLog} from '../silent-log.js';

const job = ForwardedJob.fromPartial({
	host: 'h', path: '/jobs/0123456789abcdef', body: new Uint8Array([1]), timeLeftMs: 1500, configVersion: 7,
});
const served = {status: 200, body: new Uint8Array(), retryAfterMs: 0};
const req = {
	id: 7, operation: 'job', ticket: '', principal: '', timeoutMs: 1500, body: ForwardedJob.encode(job).finish(),
};
const neverCancelled = {onCancelled: () => undefined};

type Fixture = {
	readonly forwarding: JobForwarding;
	readonly servedJobs: readonly ForwardedJob[];
};

type FixtureOptions = {
	readonly areStartsHeld?: boolean;
	readonly log?: Log;
	readonly tryStartRequest?: PeerHub['tryStartRequest'];
};

function createFixture({areStartsHeld = false, log = silentLog, tryStartRequest = () => undefined}: FixtureOptions = {}): Fixture {
	const servedJobs: ForwardedJob[] = [];
	const forwarding = createJobForwarding({
		log,
		metrics: noMetrics,
		clock: createFakeClock(),
		random: () => 0,
		isServing: () => true,
		areStartsHeld: () => areStartsHeld,
		loadMonitor: {
			getLoad: () => ({utilization: 0.1, delay: 0}), takeMaxDelay: () => 0, onSample: () => undefined, stop: () => undefined,
		},
		async serveForwardedJob(received) {
			servedJobs.push(received);
			return served;
		},
		peers: {getLoadReports: () => [], tryStartRequest},
	});
	return {forwarding, servedJobs};
}

describe('a job that this entry has forwarded and not sent yet', () => {
	// Issue 40: an entry that stood still between deciding and sending had a job started whose client had left.
	it('is declined if this process stood still since, so that it is served here once all input is read', t => {
		t.is(createFixture({areStartsHeld: true}).forwarding.tryAnswerUnsent(req), declinedResult);
		t.is(createFixture().forwarding.tryAnswerUnsent(req), undefined);
	});

	it('does not concern other requests', t => {
		t.is(createFixture({areStartsHeld: true}).forwarding.tryAnswerUnsent({...req, operation: 'snapshot'}), undefined);
	});
});

describe('a job that this entry has forwarded', () => {
	// Issue 49: the log did not tell whether the clients here or the other entry were lost first.
	for (const outcome of ['cancelled', 'lost'] as const) {
		it(`has ended as ${outcome}, by its line in the log`, async t => {
			const {log, lines} = createRecordingLog('info');
			let end: () => void = () => undefined;
			const reply = new Promise<undefined>(resolve => {
				end = () => {
					resolve(undefined);
				};
			});
			const pending = createFixture({log, tryStartRequest: () => ({reply, cancel: end})}).forwarding.tryForward('e2', 'j', job)!;
			if (outcome === 'cancelled') {
				pending.cancel();
			} else {
				end();
			}

			await pending.reply;
			t.like(lines.at(-1), {request: 'j', peer: 'e2', outcome});
		});
	}
});

// Issue 68: the logs of an entry did not tell how many of its jobs were forwarded, declined, lost or refused in a second.
describe('the counts of forwarding', () => {
	it('have each job of this entry and of others once', async t => {
		const replies: Array<RelayReply | undefined> = [{...served, id: 1, declined: false}, {...declinedResult, id: 2, declined: true}, undefined];
		const {forwarding} = createFixture({tryStartRequest: () => ({reply: Promise.resolve(replies.shift()), cancel: () => undefined})});
		for (let i = 0; i < 3; i++) {
			await forwarding.tryForward('e2', 'j', job)!.reply;
		}

		await forwarding.serve(req, neverCancelled);
		await forwarding.serve({...req, body: new Uint8Array([0xFF])}, neverCancelled);
		t.deepEqual(forwarding.getCounts(), {
			refusedBusy: 0, forwarded: 3, forwardsAnswered: 1, forwardsDeclined: 1, forwardsCancelled: 0, forwardsLost: 1, servedForOthers: 1, declinedForOthers: 1,
		});
	});
});

describe('a job that another entry has forwarded', () => {
	it('is served', async t => {
		t.deepEqual(await createFixture().forwarding.serve(req, neverCancelled), served);
	});

	// Issue 40: it may have waited while this process stood still, and its sender have given it up. A sender that waits serves it itself.
	it('is declined while input may be unread that arrived during a pause', async t => {
		t.is(await createFixture({areStartsHeld: true}).forwarding.serve(req, neverCancelled), declinedResult);
	});

	// Guards against a client that is told that its job failed unexpectedly, although the entry that it asked could serve it.
	it('is declined if it cannot be read, and the next one is served', async t => {
		const {log, lines} = createRecordingLog();
		const {forwarding, servedJobs} = createFixture({log});
		for (const body of [[0xFF], [0x0A, 0x7F], [0x28, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0x7F]]) {
			t.deepEqual(await forwarding.serve({...req, body: new Uint8Array(body)}, neverCancelled), declinedResult);
		}

		t.is(lines.length, 3);
		t.like(lines[0], {id: 7});
		const reply = await forwarding.serve(req, neverCancelled);
		t.is(reply.status, 200);
		t.is(servedJobs.length, 1);
	});
});
