/**
 * Arithmetic on resources: the processors, memory and accelerators that tasks need and upstreams have.
 */
import type {Resources} from '../generated/kingcuplane.js';

/** Amounts travel as unsigned integers of 32 bits; a message with any other value could not be written. */
export const maxAmount = 0xFF_FF_FF_FF;

export const noResources: Resources = {cpu: 0, memory: 0, accelerators: 0};

/** Returns the sum of two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
	return {cpu: a.cpu + b.cpu, memory: a.memory + b.memory, accelerators: a.accelerators + b.accelerators};
}

/** Returns `from` minus `amount`, clamped to zero because the two may come from reports of different ages. */
export function subtractResources(from: Resources, amount: Resources): Resources {
	return {
		cpu: Math.max(0, from.cpu - amount.cpu),
		memory: Math.max(0, from.memory - amount.memory),
		accelerators: Math.max(0, from.accelerators - amount.accelerators),
	};
}

/** Whether `need` fits into the `available` resources. */
export function fits(need: Resources, available: Resources): boolean {
	return need.cpu <= available.cpu && need.memory <= available.memory && need.accelerators <= available.accelerators;
}

/** Whether two amounts are the same. */
export function areEqualResources(a: Resources, b: Resources): boolean {
	return a.cpu === b.cpu && a.memory === b.memory && a.accelerators === b.accelerators;
}
