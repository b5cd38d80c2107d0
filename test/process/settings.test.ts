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
		it('require memory for a request of the largest size', t => {
			const settings = readEntrySettings(`${smallestEntry}[entry]\nmaxBodyBytes = 1000\nrequestMemoryBytes = 9000\n`, 'entry.toml');
			t.deepEqual(settings._unsafeUnwrapErr().map(diagnostic => formatDiagnostic(diagnostic)), [
				'entry.toml:8: KC3004 The setting entry.requestMemoryBytes is invalid: expected at least 8192 more than maxBodyBytes. Correct its value; docs/REFERENCE.md lists all settings.',
			]);
		});

		it('take the defaults', t => {
			const settings = readEntrySettings(smallestEntry, 'entry.toml')._unsafeUnwrap();
			compareWithBaseline(t, 'settings-entry-defaults.txt', JSON.stringify(settings, undefined, '\t').split('\n'));
		});

		it('report all errors at once, with line and remedy', t => {
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
			const diagnostics = readEntrySettings(text, 'entry.toml')._unsafeUnwrapErr();
			compareWithBaseline(t, 'settings-entry-faults.txt', diagnostics.map(diagnostic => formatDiagnostic(diagnostic)));
		});

		it('report a wildcard address together with other errors', t => {
			const diagnostics = readEntrySettings('[listen]\nhttp = "0.0.0.0:7100"\n[entry]\nblockMs = 0\n', 'entry.toml')._unsafeUnwrapErr();
			t.deepEqual(diagnostics.map(diagnostic => diagnostic.line), [undefined, undefined, undefined, 2, 4]);
		});

		it('refuse to advertise a wildcard address, which cannot be connected to', t => {
			const text = `${smallestEntry}[listen]\nhttp = "0.0.0.0:7100"\nlinks = "[::]:7200"\n`;
			t.deepEqual(readEntrySettings(text, 'entry.toml')._unsafeUnwrapErr().map(diagnostic => diagnostic.kind), ['SettingInvalid', 'SettingInvalid']);
			const advertised = `${text}[advertise]\nhttp = "10.0.0.1:7100"\nlinks = "10.0.0.1:7200"\n`;
			t.deepEqual(readEntrySettings(advertised, 'entry.toml')._unsafeUnwrap().advertise.links, {host: '10.0.0.1', port: 7200});
		});

		it('report text that is not TOML with its line', t => {
			const [diagnostic] = readEntrySettings('name = "a"\nrack = \n', 'entry.toml')._unsafeUnwrapErr();
			t.is(diagnostic?.kind, 'SettingsNotToml');
			t.is(diagnostic?.line, 2);
		});
	});

	describe('of an agent', () => {
		it('take the defaults', t => {
			const settings = readAgentSettings(smallestAgent, 'agent.toml')._unsafeUnwrap();
			compareWithBaseline(t, 'settings-agent-defaults.txt', JSON.stringify(settings, undefined, '\t').split('\n'));
		});

		it('report every missing setting', t => {
			const diagnostics = readAgentSettings('[upstream-server]\nslot = 8\n', 'agent.toml')._unsafeUnwrapErr();
			compareWithBaseline(t, 'settings-agent-faults.txt', diagnostics.map(diagnostic => formatDiagnostic(diagnostic)));
		});
	});
});
