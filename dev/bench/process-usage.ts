/**
 * Processor time and memory of a process, from the operating system.
 */
import fs from 'node:fs';

/** Resources that a process has used. */
export type ProcessUsage = {
	readonly cpuSeconds: number;
	readonly residentBytes: number;
};

/** Unit of processor time in the process statistics (`USER_HZ`). */
const ticksPerSecond = 100;
const pageBytes = 4096;

/** Reads the statistics of a process. Field indices count from the field after the parenthesized program name. */
export function readProcessUsage(pid: number): ProcessUsage {
	const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {
		cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond,
		residentBytes: Number(fields[21]) * pageBytes,
	};
}
