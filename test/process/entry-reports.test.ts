import type {EntryAddress} from '../../src/generated/kingcuplane.js';
import {createEntryReports} from '../../src/process/entry-reports.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const toAddress = (name: string): EntryAddress => ({name, incarnation: `${name}-1`, links: `${name}:1`});

function createFixture() {
	const clock = createFakeClock();
	const state = {live: ['a'], dead: [] as string[], linked: [] as string[]};
	const toAgents: number[] = [];
	const toPeers: string[][] = [];
	const reports = createEntryReports({
		clock,
		getLive: () => state.live.map(name => toAddress(name)),
		getDead: () => state.dead,
		getLinkedPeers: () => state.linked.map(name => toAddress(name)),
		reportToAgents() {
			toAgents.push(clock.now());
		},
		reportToPeers(entries) {
			toPeers.push(entries.map(({name}) => name));
		},
	});
	return {
		clock, state, reports, toAgents, toPeers,
	};
}

describe('reports of known entries', () => {
	it('are collected while many entries start', t => {
		const {clock, state, reports, toAgents, toPeers} = createFixture();
		for (let i = 0; i < 50; i++) {
			state.live.push(`e${i}`);
			state.linked.push(`e${i}`);
			reports.schedule();
			clock.advance(1);
		}

		clock.advance(100);
		t.is(toAgents.length, 1);
		t.is(toPeers.length, 1);
		t.is(toPeers[0]?.length, 50);
	});

	it('are not repeated while nothing has changed', t => {
		const {clock, reports, toAgents} = createFixture();
		for (let i = 0; i < 5; i++) {
			reports.schedule();
			clock.advance(100);
		}

		t.is(toAgents.length, 1);
	});

	it('tell agents of an entry that was declared dead', t => {
		const {clock, state, reports, toAgents} = createFixture();
		reports.schedule();
		clock.advance(100);
		state.dead.push('b-1');
		reports.schedule();
		clock.advance(100);
		t.is(toAgents.length, 2);
	});

	it('name to peers only entries that were linked since, also one that is linked again', t => {
		const {clock, state, reports, toPeers} = createFixture();
		for (const linked of [['b'], ['b', 'c'], ['c'], ['b', 'c']]) {
			state.linked = linked;
			reports.schedule();
			clock.advance(100);
		}

		t.deepEqual(toPeers, [['b'], ['c'], ['b']]);
	});
});
