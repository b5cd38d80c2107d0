import {createFakeClock} from '../../src/process/fake-clock.js';
import {noMetrics, type MetricTags} from '../../src/process/metrics.js';
import {createRefusalLog} from '../../src/process/refusal-log.js';
import {describe, it} from '../describe.js';
import {createRecordingLog} from '../recording-log.js';

describe('refusals', () => {
	it('are counted each, and logged at once and then at most once a second by server and cause', t => {
		const clock = createFakeClock();
		const {log, lines} = createRecordingLog();
		const counted: MetricTags[] = [];
		const refusals = createRefusalLog({
			clock, log, metrics: {
				...noMetrics, count(_name, _value, tags = {}) {
					counted.push(tags);
				},
			},
		});
		const getLines = () => lines.map(line => /"server":"(?<server>\w+)","cause":"(?<cause>[\w\-]+)","count":(?<count>\d+)/v.exec(JSON.stringify(line))?.slice(1).join(' '));
		for (let i = 0; i < 100; i++) {
			refusals.add('clients', 'request-memory');
		}

		refusals.add('metrics', 'connections');
		t.deepEqual(getLines(), ['clients request-memory 1', 'metrics connections 1']);
		t.is(counted.length, 101);
		clock.advance(1000);
		t.deepEqual(getLines().slice(2), ['clients request-memory 99']);
		clock.advance(5000);
		refusals.add('clients', 'request-memory');
		t.deepEqual(getLines().slice(3), ['clients request-memory 1']);
	});
});
