import {z} from 'zod';
import {startProgram} from '../../dev/processes.js';
import {startSystem} from '../../dev/system.js';
import {checkDefined} from '../../src/process/debug.js';
import {describe, itSerial} from '../describe.js';
import {testObjects} from './test-caller.js';

const countsSchema = z.record(z.string(), z.number());
const outputSchema = z.looseObject({
	jobs: z.number(), tasks: z.number(), states: countsSchema, verdicts: countsSchema, resubmitted: z.number(), starts: z.looseObject({total: z.number()}),
});

describe('processes', () => {
	itSerial('complete all jobs of the load tool and start each task once, although half of the jobs are submitted twice', async t => {
		const system = await startSystem({
			entries: 2, agents: 2, slots: 8, runTimes: 'fixed:10', seed: 1, service: 'ordering', objects: testObjects,
		});
		t.teardown(system.stop);
		const program = startProgram('dev/load.js', [
			'--entries',
			system.entries.map(({url}) => url).join(','),
			'--upstreams',
			system.agents.map(({upstreamUrl}) => upstreamUrl).join(','),
			'--token',
			system.tokens.caller,
			'--submission',
			'confirm',
			'--rate',
			'40',
			'--seconds',
			'1',
			'--tasks-max',
			'5',
			'--run-ms-min',
			'1',
			'--run-ms-mean',
			'10',
			'--resubmit-share',
			'0.5',
		]);
		const {code} = await program.waitForExit();
		const line = checkDefined(program.lines.find(text => text.startsWith('{')), `a line of JSON in: ${program.lines.join('\n')}`);
		const {jobs, tasks, states, verdicts, resubmitted, starts} = outputSchema.parse(JSON.parse(line));
		t.is(code, 0);
		t.deepEqual(states, {complete: jobs});
		t.deepEqual(verdicts, {right: jobs + resubmitted});
		t.true(resubmitted > 0);
		t.is(starts.total, tasks);
	});
});
