import {createLinkBudget, tryCreateLinkBudget, type LinkBudget} from '../../src/process/link-budget.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import type {TrafficCount} from '../../src/process/socket-traffic.js';
import {createStartPacing} from '../../src/process/start-pacing.js';
import {describe, it} from '../describe.js';

/** 100 bytes a millisecond. */
const linkMbps = 0.8;

type Fixture = {
	readonly clock: FakeClock;
	readonly budget: LinkBudget;
	send(bytes: number): void;
	/** Sends and receives at these rates, in bytes a millisecond, for a while. */
	run(duration: number, sent: number, received?: number): void;
};

function createFixture(): Fixture {
	const clock = createFakeClock();
	let count: TrafficCount = {received: 0, sent: 0};
	const budget = createLinkBudget({clock, traffic: {getCounts: () => new Map([['agents', count]])}, linkMbps});
	const add = (sent: number, received: number) => {
		count = {received: count.received + received, sent: count.sent + sent};
	};

	return {
		clock,
		budget,
		send(bytes) {
			add(bytes, 0);
		},
		run(duration, sent, received = 0) {
			for (let time = 0; time < duration; time += 5) {
				add(sent * 5, received * 5);
				clock.advance(5);
			}
		},
	};
}

describe('the budget of a network link', () => {
	it('tells which share of the bandwidth is used, and forgets a burst after it has ended', t => {
		const {budget, run} = createFixture();
		run(2000, 50, 90);
		const {utilization, sendUtilization} = budget.getLoad();
		t.true(sendUtilization > 0.45 && sendUtilization < 0.6);
		t.true(utilization > 0.85);
		run(2000, 0);
		t.true(budget.getLoad().utilization < 0.01);
	});

	it('tells how long the link needs for what was sent beyond its bandwidth', t => {
		const {budget, send, run, clock} = createFixture();
		send(20_000);
		clock.advance(50);
		const {backlog} = budget.getLoad();
		t.true(backlog > 130 && backlog < 190);
		run(300, 10);
		t.is(budget.getLoad().backlog, 0);
	});

	it('is not kept for a link that is wide or not limited', t => {
		const host = {clock: createFakeClock(), traffic: {getCounts: () => new Map()}};
		t.is(tryCreateLinkBudget({...host, linkMbps: undefined}), undefined);
		t.is(tryCreateLinkBudget({...host, linkMbps: 1000}), undefined);
		t.not(tryCreateLinkBudget({...host, linkMbps: 17.5}), undefined);
	});
});

describe('the pacing of starts', () => {
	it('sends no faster than the link carries, and goes on at once when there is room', t => {
		const {clock, budget, send} = createFixture();
		const startBytes = 1000;
		let waiting = 40;
		let isHeld = false;
		let maxBacklog = 0;
		const startAll = () => {
			for (; waiting > 0; waiting--) {
				if (isHeld) {
					return;
				}

				pacing.recordStart(startBytes);
				send(startBytes);
				maxBacklog = Math.max(maxBacklog, budget.getLoad().backlog);
			}
		};

		const pacing = createStartPacing({
			clock,
			budget,
			setHeld(value) {
				isHeld = value;
				startAll();
			},
		});
		startAll();
		t.true(waiting > 30);
		clock.advance(200);
		t.true(waiting > 10 && waiting < 25);
		clock.advance(400);
		t.is(waiting, 0);
		t.true(maxBacklog < 70);
		clock.advance(200);
		t.false(isHeld);
	});
});
