import type {PeerLoadReport} from '../../src/connection/peer-types.js';
import {
	acceptsForwardedJob, createRefusalControl, createRefusalControls, decideByLoad, type LoadDecision,
} from '../../src/request/load-sharing.js';
import {idleLink, type LinkLoad} from '../../src/process/link-budget.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createLoadMonitor, type ProcessLoad} from '../../src/process/load-monitor.js';
import {describe, it} from '../describe.js';

const idle: ProcessLoad = {utilization: 0.2, delay: 1};
const busy: ProcessLoad = {utilization: 0.75, delay: 5};
const overrun: ProcessLoad = {utilization: 1, delay: 300};
const sampleCount = 2000;

/** Returns numbers that are spread evenly over [0, 1). */
function createRandom(): () => number {
	const goldenRatio = 0.618_033_988_75;
	let number = 0;
	return () => {
		number = (number + goldenRatio) % 1;
		return number;
	};
}

function createPeer(incarnation: string, utilization: number, acceptsJobs = true, linkUtilization = 0, processorShare = 1): PeerLoadReport {
	return {
		incarnation, utilization, acceptsJobs, linkUtilization, processorShare,
	};
}

function toLink(utilization: number): LinkLoad {
	return {utilization, sendUtilization: utilization, backlog: 0};
}

/** Decides many times, and returns the share of each decision; the name of a peer stands for forwarding to it. */
function sampleDecisions(own: ProcessLoad, peers: readonly PeerLoadReport[], refusedShare = 0, link = idleLink, unforwardedShare = 0): ReadonlyMap<string, number> {
	const random = createRandom();
	const shares = new Map<string, number>();
	for (let i = 0; i < sampleCount; i++) {
		const name = describeDecision(decideByLoad({
			process: own, link, refusedShare, unforwardedShare,
		}, peers, random));
		shares.set(name, (shares.get(name) ?? 0) + (1 / sampleCount));
	}

	return shares;
}

function describeDecision(decision: LoadDecision): string {
	return decision.kind === 'forward' ? decision.peer.incarnation : decision.kind;
}

describe('load sharing', () => {
	it('serves all jobs of its own clients while there is processor time to spare', t => {
		t.deepEqual([...sampleDecisions(idle, [createPeer('p', 0)]).keys()], ['serve']);
	});

	it('forwards a part of the jobs of a busy entry, and all jobs of one that is overrun', t => {
		const peers = [createPeer('p', 0.1)];
		const forwardedShare = sampleDecisions(busy, peers).get('p') ?? 0;
		t.true(forwardedShare > 0.3 && forwardedShare < 0.7);
		t.deepEqual([...sampleDecisions(overrun, peers).keys()], ['p']);
	});

	it('forwards more to the peers that have more to spare, and nothing to others', t => {
		const shares = sampleDecisions(overrun, [createPeer('idle', 0.05), createPeer('half', 0.45), createPeer('busy', 0.7), createPeer('stopping', 0, false)]);
		t.true(shares.get('idle')! > 2 * shares.get('half')!);
		t.is(shares.get('busy'), undefined);
		t.is(shares.get('stopping'), undefined);
	});

	// Issue 68: entries on small machines got as many jobs of others as those on large ones, and were late for their own clients.
	it('forwards to peers by the processor time that they have to spare, which is less on a small machine', t => {
		const shares = sampleDecisions(overrun, [createPeer('large', 0.25, true, 0, 1.6), createPeer('small', 0.25, true, 0, 0.4)]);
		t.true(Math.abs(shares.get('large')! - 0.8) < 0.05);
		t.true(Math.abs(shares.get('small')! - 0.2) < 0.05);
	});

	it('refuses jobs only if no peer can take them, and says when to come back', t => {
		t.deepEqual([...sampleDecisions(overrun, [createPeer('p', 0.1)], 0.9).keys()], ['p']);
		const shares = sampleDecisions(overrun, [createPeer('p', 0.9)], 0.5);
		t.true(Math.abs(shares.get('refuse')! - 0.5) < 0.1);
		const decision = decideByLoad({
			process: overrun, link: idleLink, refusedShare: 1, unforwardedShare: 0,
		}, [], () => 0);
		t.true(decision.kind === 'refuse' && decision.retryAfter > 0);
	});

	it('refuses a part of the jobs that peers could take if it is late with forwarding them', t => {
		const shares = sampleDecisions(overrun, [createPeer('p', 0.1)], 0, idleLink, 0.3);
		t.true(Math.abs(shares.get('refuse')! - 0.3) < 0.1);
		t.deepEqual([...sampleDecisions(idle, [createPeer('p', 0.1)], 0, idleLink, 0.3).keys()], ['serve']);
	});

	it('forwards jobs over a full link only to peers with bandwidth to spare, and refuses a part if there are none', t => {
		const fullLink = toLink(0.97);
		t.deepEqual([...sampleDecisions(idle, [createPeer('p', 0.1), createPeer('full', 0.1, true, 0.8)], 0, fullLink).keys()], ['p']);
		const shares = sampleDecisions(idle, [createPeer('full', 0.1, true, 0.8)], 0, fullLink);
		t.true(shares.get('refuse')! > 0.5 && shares.get('serve')! > 0);
		t.deepEqual([...sampleDecisions(idle, [], 0, toLink(0.85)).keys()], ['serve']);
	});

	it('declines forwarded jobs while its link is nearly full', t => {
		t.false(acceptsForwardedJob({process: idle, link: toLink(0.8)}));
	});

	it('declines forwarded jobs while it is busy or late', t => {
		t.true(acceptsForwardedJob({process: idle, link: idleLink}));
		t.false(acceptsForwardedJob({process: {utilization: 0.85, delay: 1}, link: idleLink}));
		t.false(acceptsForwardedJob({process: {utilization: 0.5, delay: 60}, link: idleLink}));
	});
});

describe('refusal control', () => {
	it('refuses nothing because of a single long turn of the event loop', t => {
		const control = createRefusalControl();
		control.update({utilization: 0.4, delay: 40});
		t.is(control.getShare({utilization: 0.4, delay: 5}), 0);
	});

	// An entry that had stood still for 0.8 s refused most jobs for half a second after it, although it was idle.
	it('refuses nothing because an idle process has stood still', t => {
		const clock = createFakeClock();
		let standstill: Milliseconds = 0;
		const monitor = createLoadMonitor({clock: {...clock, now: () => clock.now() + standstill}, readActiveTime: () => 0});
		const control = createRefusalControl();
		monitor.onSample(control.update);
		clock.advance(500);
		standstill = 800;
		t.is(control.getShare(monitor.getLoad()), 0);
		clock.advance(50);
		const load = monitor.getLoad();
		t.true(load.delay > 500 && load.utilization === 0);
		t.is(control.getShare(load), 0);
	});

	// Issue 68: one delay of a quarter of a second let a busy entry refuse nearly all jobs for a second, and ever fewer for two more.
	it('refuses few jobs half a second after a busy process had a single long turn', t => {
		const clock = createFakeClock();
		let standstill: Milliseconds = 0;
		const now = () => clock.now() + standstill;
		const monitor = createLoadMonitor({clock: {...clock, now}, readActiveTime: () => now() * 0.97});
		const control = createRefusalControl();
		monitor.onSample(control.update);
		clock.advance(2000);
		standstill = 250;
		clock.advance(500);
		t.true(monitor.getLoad().utilization > 0.9);
		t.true(control.getShare(monitor.getLoad()) < 0.1, `${control.getShare(monitor.getLoad())}`);
	});

	it('refuses a growing share while the event loop stays late, and less and less once it is not', t => {
		const control = createRefusalControl();
		const late = {utilization: 1, delay: 60};
		for (let i = 0; i < 10; i++) {
			control.update(late);
		}

		const share = control.getShare(idle);
		t.true(share > 0.3 && share < 1);
		for (let i = 0; i < 60; i++) {
			control.update(idle);
		}

		t.is(control.getShare(idle), 0);
	});

	it('refuses nearly all at once if the event loop is so late that no answer could be in time', t => {
		t.true(createRefusalControl().getShare({utilization: 1, delay: 400}) > 0.9);
	});

	it('never refuses all, so that the end of an overload is noticed', t => {
		const control = createRefusalControl();
		for (let i = 0; i < 1000; i++) {
			control.update(overrun);
		}

		t.true(control.getShare(overrun) < 1);
	});
});

describe('refusal controls', () => {
	it('learn from a delay only what has an effect at that moment', t => {
		const controls = createRefusalControls();
		for (let i = 0; i < 10; i++) {
			controls.update(overrun, [createPeer('p', 0.1)]);
		}

		const late: ProcessLoad = {utilization: 1, delay: 20};
		t.true(controls.getShares(late).unforwardedShare > 0.3);
		t.is(Math.max(0, controls.getShares(late).refusedShare), 0);
		for (let i = 0; i < 100; i++) {
			controls.update(overrun, [createPeer('p', 0.9)]);
		}

		t.is(Math.max(0, controls.getShares(late).unforwardedShare), 0);
		t.true(controls.getShares(late).refusedShare > 0.3);
	});
});
