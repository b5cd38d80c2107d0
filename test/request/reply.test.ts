import {createDiagnostic, Diagnostics} from '../../src/process/diagnostics.js';
import {toAnswerReply} from '../../src/request/reply.js';
import {describe, it} from '../describe.js';

describe('replies to callers', () => {
	it('have a status of their own for each way in which a task or its wait can end', t => {
		const statuses = [
			Diagnostics.Task_failed,
			Diagnostics.Task_may_have_run,
			Diagnostics.Task_crashed_its_upstreams,
			Diagnostics.Task_was_lost_repeatedly,
			Diagnostics.Deadline_has_become_out_of_reach,
			Diagnostics.Objective_has_passed_while_waiting,
			Diagnostics.Objective_is_out_of_reach,
		].map(row => toAnswerReply('ticket', {state: 'failed', ran: 'ran', diagnostic: createDiagnostic(row)}).status);
		t.deepEqual(statuses, [502, 502, 502, 502, 504, 503, 503]);
	});
});
