import {formatDiagnostic} from '../../src/process/diagnostics.js';
import {readAgentSettings, readEntrySettings} from '../../src/process/settings.js';
import {compareWithBaseline} from '../baseline.js';
import {describe, it} from '../describe.js';

const smallestEntry = `
name = "entry-1"
dataCentre = "makati"
[platform]
url = "http://127.0.0.1:7000/"
`;

const smallestAgent = `
name = "agent-1"
upstream = "ordering-1"
service = "ordering"
dataCentre = "makati"
[upstream-server]
url = "http://127.0.0.1:8001"
slots = 8
[platform]
url = "http://127.0.0.1:7000"
`;

describe('settings', () => {
	describe('of an entry', () => {
		it('take the defaults', t => {
			const settings = readEntrySettings(smallestEntry, 'entry.toml')._unsafeUnwrap();
			compareWithBaseline(t, 'settings-entry-defaults.txt', JSON.stringify(settings, undefined, '\t').split('\n'));
		});

		it('name every fault at once, with line and remedy', t => {
			const text = [
				'name = "Entry 1"',
				'datacentre = "makati"',
				'[listen]',
				'http = "localhost:7100"',
				'links = "0.0.0.0:7200"',
				'[entry]',
				'leaseMillis = 3',
				'maxTasks = 0',
				'blockMs = "1s"',
				'seeds = ["127.0.0.1:7200", "127.0.0.1:0"]',
				'[platform]',
				'url = "ftp://127.0.0.1"',
				'[logs]',
			].join('\n');
			const faults = readEntrySettings(text, 'entry.toml')._unsafeUnwrapErr();
			compareWithBaseline(t, 'settings-entry-faults.txt', faults.map(fault => formatDiagnostic(fault)));
		});

		it('report a wildcard address beside other faults', t => {
			const faults = readEntrySettings('[listen]\nhttp = "0.0.0.0:7100"\n[entry]\nblockMs = 0\n', 'entry.toml')._unsafeUnwrapErr();
			t.deepEqual(faults.map(fault => fault.line), [undefined, undefined, undefined, 2, 4]);
		});

		it('refuse to advertise an address that nobody can connect to', t => {
			const text = `${smallestEntry}[listen]\nhttp = "0.0.0.0:7100"\nlinks = "[::]:7200"\n`;
			t.deepEqual(readEntrySettings(text, 'entry.toml')._unsafeUnwrapErr().map(fault => fault.kind), ['SettingInvalid', 'SettingInvalid']);
			const whole = `${text}[advertise]\nhttp = "10.0.0.1:7100"\nlinks = "10.0.0.1:7200"\n`;
			t.deepEqual(readEntrySettings(whole, 'entry.toml')._unsafeUnwrap().advertise.links, {host: '10.0.0.1', port: 7200});
		});

		it('report text that is not TOML with its line', t => {
			const [fault] = readEntrySettings('name = "a"\nrack = \n', 'entry.toml')._unsafeUnwrapErr();
			t.is(fault?.kind, 'SettingsNotToml');
			t.is(fault?.line, 2);
		});
	});

	describe('of an agent', () => {
		it('take the defaults', t => {
			const settings = readAgentSettings(smallestAgent, 'agent.toml')._unsafeUnwrap();
			compareWithBaseline(t, 'settings-agent-defaults.txt', JSON.stringify(settings, undefined, '\t').split('\n'));
		});

		it('name every missing setting', t => {
			const faults = readAgentSettings('[upstream-server]\nslot = 8\n', 'agent.toml')._unsafeUnwrapErr();
			compareWithBaseline(t, 'settings-agent-faults.txt', faults.map(fault => formatDiagnostic(fault)));
		});
	});
});
