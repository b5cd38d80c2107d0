/**
 * Objects, change sets and helpers for the fake clock that several tests share.
 */
import type {FakeClock} from '../../src/process/fake-clock.js';
import {parseChangeFiles} from '../../src/version/parse.js';
import type {Change, ChangeSet} from '../../src/version/types.js';

/** A complete and valid TOML file of objects. */
export const sampleObjectsToml = `
[[policy]]
name = "default"

[[service]]
name = "ordering"
policy = "default"

[[team]]
name = "lunch"
maxTasks = 2000

[[submission]]
name = "confirm"
service = "ordering"
team = "lunch"

[[upstream]]
name = "ordering-1"
service = "ordering"
slots = 8
`;

/** Returns the changes that a TOML file of objects describes. */
export function parseChanges(text: string): readonly Change[] {
	return parseChangeFiles([{name: 'objects.toml', text}]).changes;
}

/** Creates a change set that adds a team. */
export function createTeamChangeSet(id: string, base: number, team: string, author = 'ana'): ChangeSet {
	return createChangeSet(id, base, `[[team]]\nname = "${team}"\nmaxTasks = 10\n`, author);
}

/** Creates a change set from a TOML file of objects. */
export function createChangeSet(id: string, base: number, text: string, author = 'ana'): ChangeSet {
	return {
		id, base, author, reason: 'lunch rush', changes: parseChanges(text),
	};
}

/** Fires timers one after the other until `pending` is settled. */
export async function runUntilSettled<T>(clock: FakeClock, pending: PromiseLike<T>): Promise<T> {
	const state = {isSettled: false};
	const result = markSettled(pending, state);
	await flushPromises();
	while (!state.isSettled) {
		clock.step();
		await flushPromises();
	}

	return result;
}

async function markSettled<T>(pending: PromiseLike<T>, state: {isSettled: boolean}): Promise<T> {
	try {
		return await pending;
	} finally {
		state.isSettled = true;
	}
}

/** Runs all pending promise callbacks that do not wait for a timer. */
export async function flushPromises(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Advances the clock in steps and runs pending promise callbacks after each. */
export async function advanceClock(clock: FakeClock, duration: number, step = 50): Promise<void> {
	for (let elapsed = 0; elapsed < duration; elapsed += step) {
		clock.advance(step);
		await flushPromises();
	}
}
