/**
 * Bearer tokens. The platform's table service holds one row for each, with a hash of the secret only; a token's text
 * is `<id>.<secret>`. Requests are checked against a copy in memory, which stays as it is through outages.
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

/** Prefix of the keys of token rows; the identifier follows. */
export const tokenPrefix = 'tokens/';

/** What a directory of tokens needs. */
export type TokenDirectoryHost = {
	readonly table: TableStore;
	readonly clock: Clock;
	/** Interval between reads of all rows. Default 2000 ms. */
	readonly refreshMs?: Milliseconds;
	/** Told of every failed read and every unreadable row. */
	readonly onDiagnostic?: (diagnostic: Diagnostic) => void;
};

/** The tokens that the platform holds, as last read. */
export type TokenDirectory = {
	/** Starts to read the rows at intervals; the first read is sent at once. */
	start(): void;
	stop(): void;
	/** Reads all rows once. */
	refresh(): Promise<void>;
	/** Whether the rows were read at least once. */
	isLoaded(): boolean;
	/** Who sends this token. */
	authenticate(token: string): Result<Principal, Diagnostic>;
};

/** A new token: its row, and the text that is shown once. */
export type NewToken = {
	readonly write: TableWrite;
	readonly text: string;
};

const defaultRefresh: Milliseconds = 2000;
const pageSize = 1000;

/** Greatest age of a read that the platform is expected to serve. */
const oldestRead: Milliseconds = 60_000;

const secretBytes = 32;

/** Hash that no secret has, compared for unknown identifiers so that they take the same time. */
const noHash = Buffer.alloc(32);

const rowSchema = z.strictObject({
	name: z.string(),
	role: z.enum(['caller', 'operator', 'support']),
	team: z.string(),
	secretSha256: z.string().regex(/^[\da-f]{64}$/v),
});

/** Creates the row and the text of a token. `id` is public and has no dots; `secret` is drawn at random by default. */
export function createTokenRow(id: string, principal: Principal, secret: string = randomBytes(secretBytes).toString('base64url')): NewToken {
	const {name, role, team} = principal;
	const value = JSON.stringify({
		name, role, team, secretSha256: Buffer.from(hash(secret)).toString('hex'),
	});
	return {write: {key: `${tokenPrefix}${id}`, value}, text: `${id}.${secret}`};
}

/** Creates a directory that knows no tokens yet. */
export function createTokenDirectory({table, clock, refreshMs = defaultRefresh, onDiagnostic: onFault}: TokenDirectoryHost): TokenDirectory {
	const tokens = new Map<string, KnownToken>();
	let isKnown = false;
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
		isLoaded: () => isKnown,
		authenticate(text) {
			const [id = '', secret = ''] = splitOnce(text, '.');
			const token = tokens.get(id);
			const isEqual = timingSafeEqual(hash(secret), token?.secretHash ?? noHash);
			return token !== undefined && token.goneSince === undefined && isEqual
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
			onFault?.(rows.error.diagnostic);
			return;
		}

		markGone(new Set(rows.value.map(row => getId(row))));
		for (const row of rows.value) {
			takeRow(row);
		}

		isKnown = true;
	}

	function markGone(present: ReadonlySet<string>): void {
		for (const [id, token] of tokens) {
			if (!present.has(id)) {
				tokens.set(id, {...token, goneSince: token.goneSince ?? clock.now()});
			}
		}
	}

	function takeRow(row: TableRow): void {
		const known = tokens.get(getId(row));
		if (known === undefined || row.revision > known.revision || isBack(known, row)) {
			readToken(row).match(token => tokens.set(getId(row), token), fault => onFault?.(fault));
		}
	}

	/** A row that was gone may come from an old read; it counts again once no read can be that old. */
	function isBack({goneSince, revision}: KnownToken, row: TableRow): boolean {
		return goneSince !== undefined && row.revision === revision && clock.now() - goneSince >= oldestRead;
	}
}

type KnownToken = {
	readonly revision: number;
	/** When a read first did not show the row; undefined while it is there. */
	readonly goneSince: Milliseconds | undefined;
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

function readToken(row: TableRow): Result<KnownToken, Diagnostic> {
	return readJson(rowSchema, row.value)
		.map(({secretSha256, ...principal}) => ({
			revision: row.revision, goneSince: undefined, principal, secretHash: Buffer.from(secretSha256, 'hex'),
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
