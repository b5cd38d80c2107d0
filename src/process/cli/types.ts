/**
 * Types that the commands of the command line share.
 */
import type {Result, ResultAsync} from 'neverthrow';
import type {Clock} from '../clock.js';
import type {Diagnostic} from '../diagnostics.js';
import type {Platform} from '../platform/types.js';

/** Access of the commands to files, output, environment variables and remote services. */
export type CliHost = {
	readonly clock: Clock;
	/** Environment variables. */
	readonly env: Readonly<Record<string, string | undefined>>;
	readFile(name: string): Result<string, Diagnostic>;
	/** Writes one line of results. */
	print(line: string): void;
	/** Writes one line about a failure. */
	printError(line: string): void;
	/** Returns a new identifier for a change set. */
	createId(): string;
	openPlatform(url: string): Platform;
	openEntry(url: string, token: string): EntryClient;
};

/** Calls the HTTP interface of one entry. */
export type EntryClient = {
	call(req: EntryRequest): ResultAsync<EntryResponse, Diagnostic>;
};

/** One request to an entry. */
export type EntryRequest = {
	readonly method: 'GET' | 'POST' | 'DELETE';
	/** Path with query. */
	readonly path: string;
	/** Sent as JSON. */
	readonly body?: unknown;
};

/** The response of an entry. */
export type EntryResponse = {
	readonly status: number;
	/** The parsed JSON body. */
	readonly body: unknown;
};

/** Options of one command, by name without dashes, as the command line gives them. */
export type Options = Readonly<Record<string, unknown>>;

/** Arguments and options of one command. */
export type CommandInput = {
	readonly args: readonly string[];
	readonly options: Options;
};

/** Runs one command; a failure carries all diagnostics. */
export type Command = (host: CliHost, input: CommandInput) => Promise<Result<void, readonly Diagnostic[]>>;
