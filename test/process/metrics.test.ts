import dgram from 'node:dgram';
import {once} from 'node:events';
import {createMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';

describe('metrics', () => {
	it('are sent in StatsD format, with prefix and tags', async t => {
		const receiver = dgram.createSocket('udp4');
		receiver.bind(0, '127.0.0.1');
		await once(receiver, 'listening');
		const {port} = receiver.address();
		const errors: Error[] = [];
		const metrics = createMetrics({
			settings: {address: {host: '127.0.0.1', port}, prefix: 'kc.'},
			tags: {role: 'entry'},
			onError: err => errors.push(err),
		});
		const received = new Promise<string>(resolve => {
			receiver.once('message', message => {
				resolve(message.toString());
			});
		});
		metrics.count('jobs', 2, {state: 'complete'});
		metrics.gauge('queue', 5);
		metrics.time('answer', 120);
		await metrics.close();
		const text = await received;
		receiver.close();
		t.deepEqual(text.trim().split('\n'), [
			'kc.jobs:2|c|#role:entry,state:complete',
			'kc.queue:5|g|#role:entry',
			'kc.answer:120|ms|#role:entry',
		]);
		t.deepEqual(errors, []);
	});

	it('are discarded without an error if there is no address', async t => {
		const metrics = createMetrics({
			settings: {address: undefined, prefix: 'kc.'}, tags: {}, onError: err => t.fail(err.message),
		});
		metrics.count('jobs');
		await metrics.close();
		t.pass();
	});
});
