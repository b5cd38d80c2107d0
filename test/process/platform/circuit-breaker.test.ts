import {createFakeClock} from '../../../src/process/fake-clock.js';
import {createCircuitBreaker} from '../../../src/process/platform/circuit-breaker.js';
import {describe, it} from '../../describe.js';

describe('circuit breaker', () => {
	it('opens after failures in a row, allows a probe after the reset timeout, and closes after a success', t => {
		const clock = createFakeClock();
		const circuit = createCircuitBreaker({clock, failureThreshold: 2, resetTimeout: 100});
		circuit.recordFailure();
		t.is(circuit.tryAcquire(), undefined);

		circuit.recordFailure();
		t.is(circuit.tryAcquire(), 100);

		clock.advance(100);
		t.is(circuit.tryAcquire(), undefined, 'the probe');
		t.is(circuit.tryAcquire(), 100, 'a call beside the probe');

		circuit.recordSuccess();
		t.is(circuit.tryAcquire(), undefined);
		t.is(circuit.tryAcquire(), undefined);
	});

	it('stays closed while failures are not in a row', t => {
		const circuit = createCircuitBreaker({clock: createFakeClock(), failureThreshold: 2, resetTimeout: 100});
		circuit.recordFailure();
		circuit.recordSuccess();
		circuit.recordFailure();
		t.is(circuit.tryAcquire(), undefined);
	});
});
