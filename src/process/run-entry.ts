/**
 * Runs an entry as a process: opens its ports, connects it to the platform and shuts it down gracefully.
 */
import {randomBytes} from 'node:crypto';
import {Server, ServerCredentials} from '@grpc/grpc-js';
import {createChannelOptions} from '../connection/channel-options.js';
import {relaxedTiming} from '../connection/link-timing.js';
import {LinkService, PeerService} from '../generated/kingcuplane.js';
import {createSubmissionRecorder, type SubmissionRecorderEvent} from '../request/submission-recorder.js';
import {createPollingFollower, type ConfigFollower} from '../version/polling-follower.js';
import {createPlatformClient, type PlatformClient} from '../platform/platform-client.js';
import {formatAddress, type Address} from './address.js';
import {
	createSystemClock, type Milliseconds,
} from './clock.js';
import {assertNever} from './debug.js';
import {formatDiagnostic} from './diagnostics.js';
import {createEntry} from './entry.js';
import type {Entry, EntryHost} from './entry-types.js';
import {startHttpServer, type HttpServerHost} from './http-server.js';
import {afterPoll} from './input-reading.js';
import {createLog, type Log} from './log.js';
import {createLogStream} from './log-stream.js';
import {createMetrics, type Metrics} from './metrics.js';
import {createReadPacer} from './read-pacer.js';
import {createRefusalLog} from './refusal-log.js';
import {getConnectionLimit, getRequestMemoryLimit} from './request-limits.js';
import {createRequestMemory} from './request-memory.js';
import type {EntrySettings} from './settings.js';
import {createTokenDirectory} from './tokens.js';

/** A running entry. */
export type RunningEntry = {
	/** "IP:port" for callers and operators. */
	readonly http: string;
	/** "IP:port" for agents and other entries. */
	readonly links: string;
	readonly entry: Entry;
	readonly log: Log;
	/** Writes the buffered lines of the log, for use before the process ends. */
	flushLog(): void;
	/** Drains the entry, then closes its servers and connections. */
	stop(): Promise<void>;
};

/** Replacements for the parts that `runEntry` otherwise creates itself. */
export type EntryOverrides = {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly platform: PlatformClient;
	readonly follower: ConfigFollower;
	readonly authenticate: EntryHost['authenticate'];
	readonly host: Partial<EntryHost>;
	/** Shared with other servers of the process. */
	readonly httpHost: HttpServerHost;
};

const ticketKeyBytes = 32;
const recordSaveDelayMs: Milliseconds = 200;
/** Time for which callers may reuse a connection. */
const keepAliveMs: Milliseconds = 5000;

/** Starts an entry. Resolves once it listens. Calls `onDeclaredDead` if another entry declares this one dead. */
export async function runEntry(settings: EntrySettings, incarnation: string, onDeclaredDead: () => void, overrides: Partial<EntryOverrides> = {}): Promise<RunningEntry> {
	const clock = createSystemClock();
	const logStream = createLogStream(clock);
	const log = overrides.log ?? createLog('kingcuplane-entry', settings.name, settings.log, logStream);
	const metrics = overrides.metrics ?? createMetrics({
		settings: settings.metrics,
		tags: {role: 'entry', process: settings.name},
		onError(err) {
			log.warn({err}, 'metrics were lost');
		},
	});
	const platform = overrides.platform ?? createPlatformClient({...settings.platform, clock});
	const follower = overrides.follower ?? createPollingFollower({
		platform,
		clock,
		random: Math.random,
		onDiagnostic(diagnostic) {
			log.warn({diagnostic}, formatDiagnostic(diagnostic));
		},
	});
	follower.start();
	const tokens = createTokenDirectory({table: platform.table, clock});
	if (overrides.authenticate === undefined) {
		tokens.start();
	}

	const recorder = createSubmissionRecorder({
		clock,
		incarnation,
		settings: {
			memoryBytes: settings.entry.fateMemoryBytes,
			writesPerSecond: settings.entry.fateWritesPerSecond,
			saveDelayMs: recordSaveDelayMs,
			keepMs: settings.entry.answerKeepMs,
			blockOpenMs: settings.entry.ticketLifetimeMs + (2 * settings.entry.blockMs),
		},
		put: platform.objects.put,
		random: Math.random,
		log(event) {
			logRecorderEvent(log, event);
		},
	});
	const linkServer = new Server(createChannelOptions(overrides.host?.timing ?? relaxedTiming, 'server'));
	const linksPort = await bindLinks(linkServer, settings.listen.links);
	const advertised: EntrySettings = {
		...settings,
		advertise: {...settings.advertise, links: withPort(settings.advertise.links, linksPort)},
	};
	const entry = createEntry({
		clock,
		settings: advertised,
		incarnation,
		platform,
		follower,
		recorder,
		ticketKey: randomBytes(ticketKeyBytes),
		log,
		metrics,
		authenticate: overrides.authenticate ?? tokens.authenticate,
		areTokensLoaded: () => overrides.authenticate !== undefined || tokens.isLoaded(),
		onDeclaredDead,
		defer: setImmediate,
		afterPoll,
		random: Math.random,
		...overrides.host,
	});
	linkServer.addService(LinkService, entry.links);
	linkServer.addService(PeerService, entry.peers);
	const {maxBodyBytes, maxHeaderBytes} = settings.entry;
	const requestMemoryBytes = settings.entry.requestMemoryBytes ?? getRequestMemoryLimit(undefined, maxBodyBytes);
	const maxConnections = settings.entry.maxConnections ?? getConnectionLimit(undefined);
	const httpServer = await startHttpServer(overrides.httpHost ?? {
		clock, memory: createRequestMemory({clock, limitBytes: requestMemoryBytes}), refusals: createRefusalLog({clock, log, metrics}), pacer: createReadPacer(clock),
	}, {
		name: 'callers', app: entry.http, address: settings.listen.http, maxBodyBytes, maxHeaderBytes, maxConnections, keepAliveMs,
	});
	const httpPort = httpServer.port;
	log.info({
		incarnation, httpPort, linksPort, requestMemoryBytes, maxConnections,
	}, 'entry is listening');

	return {
		entry,
		log,
		flushLog: logStream.flushNow,
		http: formatAddress(withPort(settings.advertise.http, httpPort)),
		links: formatAddress(advertised.advertise.links),
		async stop() {
			const report = await entry.drain();
			log.info({report}, 'entry drained');
			await httpServer.close();
			await entry.stop();
			follower.stop();
			tokens.stop();
			linkServer.forceShutdown();
			await platform.close();
			await metrics.close();
			logStream.flushNow();
		},
	};
}

async function bindLinks(server: Server, address: Address): Promise<number> {
	return new Promise((resolve, reject) => {
		server.bindAsync(formatAddress(address), ServerCredentials.createInsecure(), (err, port) => {
			if (err === null) {
				resolve(port);
			} else {
				reject(err);
			}
		});
	});
}

function withPort(address: Address, port: number): Address {
	return address.port === 0 ? {...address, port} : address;
}

function logRecorderEvent(log: Log, event: SubmissionRecorderEvent): void {
	switch (event.kind) {
		case 'save-failed': {
			log.warn({...event}, formatDiagnostic(event.diagnostic));
			break;
		}

		case 'memory-full': {
			log.error({...event}, 'memory for unsaved records is full; new work is refused');
			break;
		}

		case 'detail-dropped':
		case 'change-ignored': {
			log.warn({...event}, 'submission record is incomplete');
			break;
		}

		default: {
			assertNever(event);
		}
	}
}
