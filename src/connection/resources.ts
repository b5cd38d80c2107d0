/**
 * What tasks need of an upstream and what an upstream has: processors, memory and accelerators.
 */
import type {Resources} from '../generated/kingcuplane.js';

/** No resources at all. */
export const noResources: Resources = {cpu: 0, memory: 0, accelerators: 0};

/** The sum of two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
	return {cpu: a.cpu + b.cpu, memory: a.memory + b.memory, accelerators: a.accelerators + b.accelerators};
}

/** What is left of `from`; never below zero, because news of both may be of different age. */
export function subtractResources(from: Resources, part: Resources): Resources {
	return {
		cpu: Math.max(0, from.cpu - part.cpu),
		memory: Math.max(0, from.memory - part.memory),
		accelerators: Math.max(0, from.accelerators - part.accelerators),
	};
}

/** Whether `need` fits into `room`. */
export function fits(need: Resources, room: Resources): boolean {
	return need.cpu <= room.cpu && need.memory <= room.memory && need.accelerators <= room.accelerators;
}
