import fs from 'node:fs';
import {readAgentSettings, readEntrySettings} from '../../src/process/settings.js';
import {getFields} from '../../src/version/fields.js';
import {objectKinds} from '../../src/version/types.js';
import {describe, it} from '../describe.js';

const reference = fs.readFileSync('docs/REFERENCE.md', 'utf8');

describe('docs/REFERENCE.md', () => {
	it('lists every field of every kind of object, with its range', t => {
		const missing = objectKinds.flatMap(kind => getFields(kind)
			.filter(({tomlKey, range}) => !reference.split('\n').some(line =>
				line.includes(`| \`${tomlKey}\` |`) && (range === undefined || line.includes(`${range.min} to ${range.max}`))))
			.map(({tomlKey}) => `${kind}.${tomlKey}`));
		t.deepEqual(missing, []);
	});

	it('lists every setting', t => {
		const entry = readEntrySettings(fs.readFileSync('examples/baonhan/entry-makati.toml', 'utf8'), 'entry.toml')._unsafeUnwrap();
		const agent = readAgentSettings(fs.readFileSync('examples/baonhan/agent.toml', 'utf8'), 'agent.toml')._unsafeUnwrap();
		const keys = [entry, entry.entry, entry.platform, entry.log, entry.metrics, agent, agent.agent, agent.upstreamServer]
			.flatMap(section => Object.entries(section))
			.filter(([, value]) => typeof value !== 'object' || Array.isArray(value))
			.map(([key]) => key);
		t.deepEqual(keys.filter(key => !new RegExp(`\`(?:\\[[\\w\\-]+\\] )?${key}\``, 'v').test(reference)), []);
	});
});
