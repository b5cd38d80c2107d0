/**
 * Logs and measures at an entry which agents are linked, and which starts are given up with an agent.
 */
import type {EndedSession, SessionEndCause} from '../connection/agent-sessions.js';
import type {OutdatedHello} from '../connection/hello-order.js';
import type {LinkChange} from '../connection/link-server.js';
import type {AgentInfo} from '../connection/types.js';
import type {AgentHello} from '../generated/kingcuplane.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the telemetry. */
export type AgentTelemetryHost = {
	readonly log: Pick<Log, 'info' | 'warn'>;
	readonly metrics: Metrics;
};

/** The telemetry of one entry. */
export type AgentTelemetry = {
	recordLinkChange(agent: AgentInfo, change: LinkChange): void;
	/** Records that a link was closed at once, since its hello may be outdated. */
	recordOutdatedHello(hello: AgentHello, outdated: OutdatedHello): void;
	recordSessionEnd(ended: EndedSession): void;
};

/** Maximum number of starts that one log line names. */
const maxLoggedStarts = 20;

/** Creates the telemetry. */
export function createAgentTelemetry({log, metrics}: AgentTelemetryHost): AgentTelemetry {
	return {
		recordLinkChange(agent, change) {
			log.info({...toLogFields(agent), ...change}, `link ${change.kind}`);
		},
		recordOutdatedHello({agent, incarnation, helloNumber}, {kind, age, newest}) {
			metrics.count('hello.outdated', 1, {reason: kind});
			log.warn({
				agent, incarnation, helloNumber, age: Math.round(age), reason: kind, newest,
			}, 'link ignored, since its hello may be outdated');
		},
		recordSessionEnd({agent, cause, starts}) {
			metrics.count('agent.ended', 1, {cause: cause.kind});
			if (starts.length > 0) {
				metrics.count('starts.abandoned', starts.length, {cause: cause.kind});
			}

			log.info({
				...toLogFields(agent),
				upstreamIncarnation: agent.upstreamIncarnation,
				...describeCause(cause),
				starts: starts.length,
				tasks: starts.slice(0, maxLoggedStarts).map(({ticket, index, attempt}) => [ticket, index, attempt]),
			}, 'agent is gone; its starts are abandoned');
		},
	};
}

function describeCause(cause: SessionEndCause): Readonly<Record<string, unknown>> {
	switch (cause.kind) {
		case 'superseded': {
			const {kind, age, ...hello} = cause;
			return {cause: kind, by: {...hello, age: Math.round(age)}};
		}

		case 'link-lost': {
			const {kind, ...inputs} = cause;
			return {cause: kind, ...inputs};
		}
	}
}

function toLogFields({name, incarnation, upstream}: AgentInfo): Readonly<Record<string, unknown>> {
	return {agent: name, incarnation, upstream};
}
