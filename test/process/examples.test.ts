import fs from 'node:fs';
import {readAgentSettings, readEntrySettings} from '../../src/process/settings.js';
import {checkChangeSet} from '../../src/version/check.js';
import {parseChangeFiles} from '../../src/version/parse.js';
import {emptySnapshot} from '../../src/version/snapshot.js';
import {describe, it} from '../describe.js';

const deployments = [
	{name: 'baonhan', service: 'ordering', dataCentres: ['makati', 'bgc', 'ortigas', 'alabang']},
	{name: 'canopy', service: 'booking', dataCentres: ['brisbane', 'toowoomba', 'townsville', 'cairns']},
];

describe('examples', () => {
	for (const {name, service, dataCentres} of deployments) {
		it(`of ${name} are complete and valid`, t => {
			const file = `examples/${name}/objects.toml`;
			const {changes, diagnostics, ...options} = parseChangeFiles([{name: file, text: fs.readFileSync(file, 'utf8')}]);
			const changeSet = {
				id: 'first', base: 0, author: 'test', reason: 'test', changes,
			};
			t.deepEqual([...diagnostics, ...checkChangeSet(changeSet, emptySnapshot, options)], []);
			const slots = changes.map(change => change.kind === 'put' && change.object.kind === 'upstream' ? change.object.slots : 0);
			t.deepEqual(slots.filter(count => count > 0), Array.from({length: 11}, () => 8));
		});

		it(`of ${name} have settings for each data centre and its agents`, t => {
			for (const dataCentre of dataCentres) {
				const file = `examples/${name}/entry-${dataCentre}.toml`;
				t.is(readEntrySettings(fs.readFileSync(file, 'utf8'), file)._unsafeUnwrap().dataCentre, dataCentre);
			}

			const file = `examples/${name}/agent.toml`;
			const agent = readAgentSettings(fs.readFileSync(file, 'utf8'), file)._unsafeUnwrap();
			t.deepEqual([agent.service, agent.upstreamServer.slots, agent.upstreamServer.connections], [service, 8, 64]);
		});
	}
});
