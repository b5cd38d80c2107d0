import fc from 'fast-check';
import {readMachineSettings} from '../../src/platform/settings.js';
import {describe, it} from '../describe.js';
import {createOddNumberTexts, oddInputRuns} from '../odd-input.js';

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
	'limits.mem-limit-mb=350',
	'limits.max-fds=4100',
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
			memoryBytes: 367_001_600,
			descriptors: 4100,
			graceMs: 6000,
			service: undefined,
		});
	});

	it('may name the service of an executor, and name none if it is empty', t => {
		const services = ['upstream=huvo11a', 'upstream='].map(line => readMachineSettings([...lines, line].join('\n'))._unsafeUnwrap().service);
		t.deepEqual(services, ['huvo11a', undefined]);
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

	// Guards against a program that fails at an address or a port later, without naming the setting.
	it('are reported by name if their values are out of range', t => {
		const odd = {
			ip: ['', 'x', '10.1.0', '10.1.0.13:1'],
			'platform.addr': ['', 'x', '10.200.1.7', '10.200.1.7:0', '10.200.1.7:99999', '10.200.1.7: 80'],
			'listen.front': ['', 'x', '10.1.0.13:99999', '10.1.0.13:-1'],
			'port-range': ['', '7720', 'a,b', '7735,7720', '0,10', '65535,65536', '1.5,3', '1e300,1e301'],
			'bounds.grace-s': ['', '0', '-1', 'NaN', 'Infinity', '1e300'],
			'bounds.hold-max-ms': ['x', '0', '-1', '1e300'],
			'limits.link-mbps': ['x', '-1', 'NaN'],
		};
		for (const [name, values] of Object.entries(odd)) {
			for (const value of values) {
				const text = [...lines.filter(line => !line.startsWith(`${name}=`)), `${name}=${value}`].join('\n');
				const diagnostics = readMachineSettings(text).match(() => [], found => found);
				t.is(diagnostics.length, 1, `${name}=${value}`);
				t.true(diagnostics[0]?.message.includes(name));
			}
		}
	});

	it('are read or reported, whatever the file contains', t => {
		fc.assert(fc.property(fc.constantFrom(...lines), fc.oneof(createOddNumberTexts(), fc.string()), (line, value) => {
			const text = lines.map(other => other === line ? `${line.split('=')[0]}=${value}` : other).join('\n');
			const settings = readMachineSettings(text);
			t.true(settings.isErr() || (settings.value.linksPort > 0 && settings.value.linksPort < 65_535));
			t.true(settings.isErr() || (settings.value.graceMs > 0 && settings.value.graceMs <= 86_400_000));
		}), oddInputRuns);
	});
});
