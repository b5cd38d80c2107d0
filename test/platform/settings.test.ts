import {readMachineSettings} from '../../src/platform/settings.js';
import {describe, it} from '../describe.js';

const lines = [
	'node=front-makati-1',
	'zone=makati',
	'ip=10.1.0.13',
	'listen.front=10.1.0.13:8161',
	'listen.ready=10.1.0.13:8167',
	'listen.control=10.1.0.13:8166',
	'port-range=7720,7735',
	'seeds=10.1.0.13:8166,10.2.0.30:8166',
	'platform.addr=10.200.1.7:8169',
	'bounds.hold-max-ms=1000',
	'bounds.grace-s=6',
	'bounds.new-thing=1',
];

describe('machine settings', () => {
	it('are parsed, and unknown ones are ignored', t => {
		t.deepEqual(readMachineSettings(lines.join('\n'))._unsafeUnwrap(), {
			name: 'front-makati-1',
			dataCentre: 'makati',
			ip: '10.1.0.13',
			clients: {host: '10.1.0.13', port: 8161},
			ready: {host: '10.1.0.13', port: 8167},
			control: {host: '10.1.0.13', port: 8166},
			advertisedLinks: {host: '10.1.0.13', port: 7720},
			linksPort: 7720,
			metricsPort: 7721,
			seeds: ['10.1.0.13', '10.2.0.30'],
			store: '10.200.1.7:8169',
			maxLeaseMs: 1000,
			linkMbps: undefined,
			graceMs: 6000,
		});
	});

	it('may lack seeds and listeners, as beside an executor before the first entry', t => {
		const settings = readMachineSettings(lines.filter(line => !line.startsWith('listen') && !line.startsWith('seeds')).join('\n'))._unsafeUnwrap();
		t.deepEqual(settings.seeds, []);
		t.is(settings.clients, undefined);
	});

	it('may state another address of the links', t => {
		const settings = readMachineSettings([...lines, 'advertise.links=10.9.0.1:99'].join('\n'))._unsafeUnwrap();
		t.deepEqual(settings.advertisedLinks, {host: '10.9.0.1', port: 99});
	});

	it('report all invalid ones together', t => {
		const diagnostics = readMachineSettings('zone=makati\nip=10.1.0.13\nport-range=9,5\nlisten.front=x\n')._unsafeUnwrapErr();
		const names = diagnostics.map(({message}) => /setting (\S+)/v.exec(message)?.[1] ?? '');
		t.deepEqual(names.toSorted((a, b) => a.localeCompare(b)), ['listen.front', 'node', 'platform.addr', 'port-range']);
	});
});
