/**
 * A job whose spec begins with a byte order mark (U+FEFF).
 */
import {fileURLToPath} from 'node:url';
import {createRecord, runCase} from '../harness/record.mjs';
import {startSystem} from '../harness/system.mjs';

const byteOrderMark = '\uFEFF';
const record = createRecord();
let system;

await runCase({
	name: 'spec with a byte order mark',
	record,
	recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
	async run(hasTrouble) {
		system = await startSystem({record, fronts: 1, sides: 2});
		const spec = `${hasTrouble ? byteOrderMark : ''}order;table 4`;
		await system.submit(system.entries[0], {
			id: '5c0e7a21d94b36f8', spec, count: 2, estimateMs: 100,
		});
		return record.events
			.filter(event => event.what === 'start' && event.spec !== spec)
			.map(event => `UNASKED: ${event.executor} was told to start ${event.task} with a spec of ${event.spec.length} characters, `
				+ `${JSON.stringify(event.spec)}; the client sent one of ${spec.length} characters`);
	},
	async stop() {
		await system?.stop();
	},
});
