import {createFakeClock} from '../../../src/process/fake-clock.js';
import {createCircuit} from '../../../src/process/platform/circuit.js';
import {describe, it} from '../../describe.js';

describe('circuit', () => {
	it('opens after failures in a row, probes after the pause, and closes with a success', t => {
		const clock = createFakeClock();
		const circuit = createCircuit({clock, failuresToOpen: 2, pause: 100});
		circuit.reportFailure();
		t.is(circuit.tryEnter(), undefined);

		circuit.reportFailure();
		t.is(circuit.tryEnter(), 100);

		clock.advance(100);
		t.is(circuit.tryEnter(), undefined, 'the probe');
		t.is(circuit.tryEnter(), 100, 'a call beside the probe');

		circuit.reportSuccess();
		t.is(circuit.tryEnter(), undefined);
		t.is(circuit.tryEnter(), undefined);
	});

	it('stays closed while failures are not in a row', t => {
		const circuit = createCircuit({clock: createFakeClock(), failuresToOpen: 2, pause: 100});
		circuit.reportFailure();
		circuit.reportSuccess();
		circuit.reportFailure();
		t.is(circuit.tryEnter(), undefined);
	});
});
