/**
 * Runs one case: starts the project's programs with the commands of the deploy file beside the project's own stand-ins, records
 * what was sent, answered and run, and ends everything that was started. The exit code is 1 if the rule was broken, 0 if it
 * held and 2 if the case could not run.
 */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));
const limitMs = 110_000;

/** Bounds and limits as the platform gives them to a machine of a small deployment. */
const commonSettings = `
region=r
limits.cores=1
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=local
entry=vip
heartbeat-ms=1500
control-mode=call
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-deadline-ms=2000
bounds.hold-max-ms=1000
bounds.stop-ms=50
bounds.cancel_ms=3000
bounds.fencing=true
bounds.lease-ms=3000
bounds.retry-ms=1300
`.trim().split('\n');
const roleSettings = {
	entry: ['machine-class=front', 'limits.cpu-share=0.675', 'limits.mem-limit-mb=350', 'limits.max-fds=4100'],
	agent: ['machine-class=side', 'limits.cpu-share=0.405', 'limits.mem-limit-mb=218', 'limits.max-fds=4096'],
};

/** Whether the case brings its disruption about. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Resolves after `duration` milliseconds. */
export async function sleep(duration) {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

/** Returns a name as clients give it to a job. */
export function formatJobName(number) {
	return number.toString(16).padStart(16, '0');
}

/** Options for the project's `startPlatformSystem` that run the deployed build. */
export function toDeployedOptions(options) {
	return {
		...options,
		program: '../target/kingcuplane-platform.mjs',
		nodeOptions: {entry: readNodeOptions('entry'), agent: readNodeOptions('agent')},
		settingLines: {entry: [...commonSettings, ...roleSettings.entry], agent: [...commonSettings, ...roleSettings.agent]},
	};
}

function readNodeOptions(role) {
	const text = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	const [, run] = /run = "node (?<run>[^"]+)"/v.exec(section);
	return run.split(' ').filter(word => word.startsWith('--'));
}

/**
 * Runs `play`, which gets a function that starts a system and one that records a line, and returns what broke the rule; nothing
 * if that is empty.
 */
export async function runCase(folder, play) {
	const startedAt = Date.now();
	const lines = [];
	const note = text => {
		lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`);
	};

	const systems = [];
	const finish = async code => {
		await Promise.all(systems.map(async system => system.stop()));
		fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.exit(code);
	};

	setTimeout(async () => {
		note('could not run: the time is over');
		await finish(2);
	}, limitMs).unref();
	note(hasTrouble ? 'with the disruption' : 'TROUBLE=0: without the disruption');
	try {
		const {startPlatformSystem} = await import('../../dist/dev/platform-system.js');
		const start = async options => {
			const system = await startPlatformSystem(toDeployedOptions(options));
			systems.push(system);
			return system;
		};

		const broken = await play({start, note});
		for (const text of broken) {
			note(`BROKEN: ${text}`);
		}

		note(broken.length === 0 ? 'the rule held' : 'the rule was broken');
		console.log(lines.at(-1));
		await finish(broken.length === 0 ? 0 : 1);
	} catch (err) {
		note(`could not run: ${err.stack}`);
		console.error(err);
		await finish(2);
	}
}
