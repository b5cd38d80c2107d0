/**
 * Bearer tokens. The text of a token is `<id>.<secret>`. The platform's table service stores one row per token, which
 * contains only a hash of the secret. Requests are authenticated against a copy in memory, which stays valid during
 * outages of the platform.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Principal} from '../request/router.js';
import {
	every, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from './diagnostics.js';
import {readJson} from './json.js';
import type {
	PlatformError, TableRow, TableStore, TableWrite,
} from './platform/types.js';

/** Prefix of the keys of token rows, followed by the token's identifier. */
export const tokenPrefix = 'tokens/';

/** Dependencies of a token directory. */
export type TokenDirectoryHost = {
	readonly table: TableStore;
	readonly clock: Clock;
	/** Interval between reads of all rows. Default 2000 ms. */
	readonly refreshMs?: Milliseconds;
	/** Called for every failed read and every invalid row. */
	readonly onDiagnostic?: (diagnostic: Diagnostic) => void;
};

/** The tokens stored by the platform, as last read. */
export type TokenDirectory = {
	/** Reads all rows immediately, and again at regular intervals. */
	start(): void;
	stop(): void;
	/** Reads all rows once. */
	refresh(): Promise<void>;
	/** Whether the rows have been read at least once. */
	isLoaded(): boolean;
	/** Returns the principal that this token belongs to; the error is a diagnostic if the token is not valid. */
	authenticate(token: string): Result<Principal, Diagnostic>;
};

/** A new token: the write that creates its row, and its text, which is not stored and can be shown only once. */
export type NewToken = {
	readonly write: TableWrite;
	readonly text: string;
};

const defaultRefreshInterval: Milliseconds = 2000;
const pageSize = 1000;

/** Greatest age of the data that a stale read of the platform may return. */
const maxStaleReadAge: Milliseconds = 60_000;

const secretBytes = 32;

/** Hash that no secret has. It is compared for unknown identifiers, so that these take the same time as known ones. */
const dummyHash = Buffer.alloc(32);

const rowSchema = z.strictObject({
	name: z.string(),
	role: z.enum(['caller', 'operator', 'support']),
	team: z.string(),
	secretSha256: z.string().regex(/^[\da-f]{64}$/v),
});

/** Creates the row and the text of a token. `id` is public and must not contain dots; `secret` is random by default. */
export function createTokenRow(id: string, principal: Principal, secret: string = randomBytes(secretBytes).toString('base64url')): NewToken {
	const {name, role, team} = principal;
	const value = JSON.stringify({
		name, role, team, secretSha256: Buffer.from(hash(secret)).toString('hex'),
	});
	return {write: {key: `${tokenPrefix}${id}`, value}, text: `${id}.${secret}`};
}

/** Creates a directory without any tokens; they are loaded by the first read. */
export function createTokenDirectory({table, clock, refreshMs = defaultRefreshInterval, onDiagnostic}: TokenDirectoryHost): TokenDirectory {
	const tokens = new Map<string, CachedToken>();
	let isLoaded = false;
	let isReading = false;
	let timer: Timer | undefined;

	return {
		start() {
			void refresh();
			timer = every(clock, refreshMs, () => {
				void refresh();
			});
		},
		stop() {
			timer?.cancel();
		},
		refresh,
		isLoaded: () => isLoaded,
		authenticate(text) {
			const [id = '', secret = ''] = splitOnce(text, '.');
			const token = tokens.get(id);
			const isEqual = timingSafeEqual(hash(secret), token?.secretHash ?? dummyHash);
			return token !== undefined && token.absentSince === undefined && isEqual
				? ok(token.principal)
				: err(createDiagnostic(Diagnostics.Token_is_unknown));
		},
	};

	async function refresh(): Promise<void> {
		if (isReading) {
			return;
		}

		isReading = true;
		const rows = await readAllRows(table);
		isReading = false;
		if (rows.isErr()) {
			onDiagnostic?.(rows.error.diagnostic);
			return;
		}

		markAbsent(new Set(rows.value.map(row => getId(row))));
		for (const row of rows.value) {
			updateToken(row);
		}

		isLoaded = true;
	}

	function markAbsent(present: ReadonlySet<string>): void {
		for (const [id, token] of tokens) {
			if (!present.has(id)) {
				tokens.set(id, {...token, absentSince: token.absentSince ?? clock.now()});
			}
		}
	}

	function updateToken(row: TableRow): void {
		const cached = tokens.get(getId(row));
		if (cached === undefined || row.revision > cached.revision || hasReappeared(cached, row)) {
			parseToken(row).match(token => tokens.set(getId(row), token), parseError => onDiagnostic?.(parseError));
		}
	}

	/**
	 * Whether a row that was absent can be accepted again although its revision is unchanged. A stale read may still return
	 * a deleted row, so this requires that the row has been absent for longer than any read can be stale.
	 */
	function hasReappeared({absentSince, revision}: CachedToken, row: TableRow): boolean {
		return absentSince !== undefined && row.revision === revision && clock.now() - absentSince >= maxStaleReadAge;
	}
}

type CachedToken = {
	readonly revision: number;
	/** When a read first did not return the row; undefined while the row is present. */
	readonly absentSince: Milliseconds | undefined;
	readonly principal: Principal;
	readonly secretHash: Uint8Array;
};

async function readAllRows(table: TableStore): Promise<Result<readonly TableRow[], PlatformError>> {
	const rows: TableRow[] = [];
	for (;;) {
		const page = await table.scan(tokenPrefix, pageSize, rows.at(-1)?.key);
		if (page.isErr()) {
			return err(page.error);
		}

		rows.push(...page.value);
		if (page.value.length < pageSize) {
			return ok(rows);
		}
	}
}

function parseToken(row: TableRow): Result<CachedToken, Diagnostic> {
	return readJson(rowSchema, row.value)
		.map(({secretSha256, ...principal}) => ({
			revision: row.revision, absentSince: undefined, principal, secretHash: Buffer.from(secretSha256, 'hex'),
		}))
		.mapErr(reason => createDiagnostic(Diagnostics.Row_is_invalid, row.key, reason));
}

function getId(row: TableRow): string {
	return row.key.slice(tokenPrefix.length);
}

function hash(secret: string): Uint8Array {
	return createHash('sha256').update(secret).digest();
}

function splitOnce(text: string, separator: string): readonly [string, string] | readonly [string] {
	const index = text.indexOf(separator);
	return index === -1 ? [text] : [text.slice(0, index), text.slice(index + separator.length)];
}
