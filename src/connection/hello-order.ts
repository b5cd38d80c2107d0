/**
 * The order of the hellos of agents at one entry. A hello may be held up on its way for longer than its agent, or its agent's process,
 * goes on, so the order in which hellos arrive says nothing about the order in which they were sent.
 *
 * An agent numbers its hellos, which orders those of one incarnation. Two incarnations have no number in common, and no clock that both of them
 * and the entry can rely on. But an agent sends a hello only after it has received the welcome that the hello answers, so it was sent after
 * everything that had arrived here when that welcome was sent. And an agent never says hello again as an incarnation that another one has followed. So
 * a hello is certainly one of a later incarnation if it answers a welcome that was sent after the hello of the other incarnation had arrived.
 * In any other case it may be one of an earlier incarnation, and its link is closed: an agent that lives opens another link at once.
 */
import {err, ok, type Result} from 'neverthrow';
import type {AgentHello} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';

/** A welcome that was sent on a new link. */
export type SentWelcome = {
	/** Position in the sequence of the welcomes sent and the hellos accepted here. */
	readonly position: number;
	readonly sentAt: Milliseconds;
};

/** A hello that was accepted. */
type AcceptedHello = {
	readonly incarnation: string;
	readonly helloNumber: number;
	readonly position: number;
};

/** A hello that may have been sent before another one that was accepted, and does not count. */
export type OutdatedHello = {
	readonly kind:
		/** The same incarnation has sent a later one. */
		| 'later-hello'
		/** Another incarnation's hello has arrived since the welcome was sent that this one answers. */
		| 'other-incarnation';
	/** Time since that welcome was sent. */
	readonly age: Milliseconds;
	/** The hello that was accepted last. */
	readonly newest: Pick<AcceptedHello, 'incarnation' | 'helloNumber'>;
};

/** Dependencies of the order. */
export type HelloOrderHost = {
	readonly clock: Clock;
	/** Whether the entry has a session with this agent incarnation, so that its last hello must be remembered. */
	hasSession(incarnation: string): boolean;
};

/** Accepts hellos in the order in which they were sent. */
export type HelloOrder = {
	/** Records that a welcome is sent now. */
	recordWelcome(): SentWelcome;
	/** Accepts a hello that answers this welcome, unless it may be outdated. */
	accept(hello: AgentHello, welcome: SentWelcome): Result<void, OutdatedHello>;
};

/** Number of agents without a session whose newest hello is remembered. */
const maxRememberedAgents = 5000;

/** Creates the order of an entry that has accepted no hello. */
export function createHelloOrder({clock, hasSession}: HelloOrderHost): HelloOrder {
	/** The newest hello of each agent by the agent's name, the oldest first. */
	const newestHellos = new Map<string, AcceptedHello>();
	let position = 0;

	return {
		recordWelcome() {
			position++;
			return {position, sentAt: clock.now()};
		},
		accept(hello, welcome) {
			const newest = newestHellos.get(hello.agent);
			const outdated = newest && tryGetReason(hello, welcome, newest);
			if (outdated !== undefined) {
				const {incarnation, helloNumber} = newest!;
				return err({kind: outdated, age: clock.now() - welcome.sentAt, newest: {incarnation, helloNumber}});
			}

			position++;
			newestHellos.delete(hello.agent);
			newestHellos.set(hello.agent, {incarnation: hello.incarnation, helloNumber: hello.helloNumber, position});
			forgetOldest();
			return ok(undefined);
		},
	};

	function forgetOldest(): void {
		for (const [agent, {incarnation}] of newestHellos) {
			if (newestHellos.size <= maxRememberedAgents) {
				return;
			}

			if (!hasSession(incarnation)) {
				newestHellos.delete(agent);
			}
		}
	}
}

/** Returns why a hello may have been sent before the newest one; undefined if it was certainly sent after it. */
function tryGetReason({incarnation, helloNumber}: AgentHello, welcome: SentWelcome, newest: AcceptedHello): OutdatedHello['kind'] | undefined {
	const isSameIncarnation = incarnation === newest.incarnation;
	// An agent that does not number its hellos leaves only the welcomes to order them.
	const isOutdated = isSameIncarnation && helloNumber > 0 ? helloNumber <= newest.helloNumber : welcome.position < newest.position;
	return isOutdated ? (isSameIncarnation ? 'later-hello' : 'other-incarnation') : undefined;
}
