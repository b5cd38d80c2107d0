/**
 * The platform's entry with a load that seems to vary at random, so that it forwards jobs, serves forwarded ones and declines some.
 */
import fs from 'node:fs';
import process from 'node:process';
import {runPlatformEntry} from '../../src/platform/run-entry.js';
import {readMachineSettings} from '../../src/platform/settings.js';
import {keepProcessAlive, logUnexpectedErrors, waitForStopSignal} from '../../src/process/bin/program.js';
import {createSystemClock} from '../../src/process/clock.js';
import {createIncarnation} from '../../src/process/incarnation.js';
import {createEventLoopMonitor} from '../../src/process/load-monitor.js';
import {createLogStream} from '../../src/process/log-stream.js';
import {createLog} from '../../src/process/log.js';

/** Exit code of an entry that another one has declared dead, as that of the platform's program. */
const declaredDeadExitCode = 3;
/** Share of the decisions for which the entry seems to be busy. */
const busyShare = Number(process.env.KINGCUPLANE_BUSY_SHARE ?? 0.4);

keepProcessAlive();
const clock = createSystemClock();
const stream = createLogStream(clock);
const machine = readMachineSettings(fs.readFileSync(process.env.KINGCUPLANE_CONFIG ?? '', 'utf8'))._unsafeUnwrap();
const log = createLog('kingcuplane-entry', machine.name, {level: 'info'}, stream);
logUnexpectedErrors(log, stream.flushNow);
const running = await runPlatformEntry(machine, createIncarnation(), log, () => {
	stream.flushNow();
	process.exit(declaredDeadExitCode);
}, {
	loadMonitor: {
		...createEventLoopMonitor(clock),
		getLoad: () => Math.random() < busyShare ? {utilization: 0.95, delay: 0} : {utilization: 0.1, delay: 0},
	},
});
await waitForStopSignal();
await running.stop();
stream.flushNow();
process.exit(0);
