/**
 * Holds the active configuration of this process. Its version only increases, whatever the store or a peer serves and in
 * whatever order answers arrive.
 */
import type {Result} from 'neverthrow';
import {checkDefined} from '../process/debug.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {Snapshot} from './types.js';

/** Encoding of snapshots between processes. */
export type SnapshotCodec = {
	encode(snapshot: Snapshot): Uint8Array;
	/** `source` names the origin in diagnostics. */
	decode(bytes: Uint8Array, source: string): Result<Snapshot, Diagnostic>;
};

/** Called with each snapshot that becomes active. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** Whether an offered snapshot became active. */
export type OfferOutcome = 'in-force' | 'not-newer';

/** The active snapshot and its listeners. */
export type SnapshotHolder = {
	/** Activates a snapshot if it is newer than the active one; returns whether it was. */
	applyIfNewer(snapshot: Snapshot): boolean;
	/** Decodes a snapshot from a peer and activates it if it is newer than the active one. */
	offer(bytes: Uint8Array): Result<OfferOutcome, Diagnostic>;
	/** Returns the active snapshot; throws if there is none yet. */
	get(): Snapshot;
	/** Returns the active snapshot; undefined if there is none yet. */
	tryGet(): Snapshot | undefined;
	/** Returns the active snapshot in encoded form, to offer to peers; undefined if there is none yet. */
	tryGetEncoded(): Uint8Array | undefined;
	/** Calls `listener` with each snapshot that becomes active from now on. Returns a function that removes the listener. */
	onChange(listener: SnapshotListener): () => void;
};

/** Creates a holder without a snapshot. `onDiagnostic` is called for each offer that cannot be decoded. */
export function createSnapshotHolder(codec: SnapshotCodec, onDiagnostic: (diagnostic: Diagnostic) => void): SnapshotHolder {
	const listeners = new Set<SnapshotListener>();
	let activeSnapshot: Snapshot | undefined;
	let activeBytes: Uint8Array | undefined;

	return {
		applyIfNewer,
		offer(bytes) {
			return codec.decode(bytes, 'a peer')
				.map((snapshot): OfferOutcome => applyIfNewer(snapshot) ? 'in-force' : 'not-newer')
				.orTee(onDiagnostic);
		},
		get: () => checkDefined(activeSnapshot, 'a configuration version is active'),
		tryGet: () => activeSnapshot,
		tryGetEncoded() {
			activeBytes ??= activeSnapshot === undefined ? undefined : codec.encode(activeSnapshot);
			return activeBytes;
		},
		onChange(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};

	/** The only place where a snapshot becomes active. Compares versions here, since a newer one may have become active during a read. */
	function applyIfNewer(snapshot: Snapshot): boolean {
		if (snapshot.version <= (activeSnapshot?.version ?? 0)) {
			return false;
		}

		activeSnapshot = snapshot;
		activeBytes = undefined;
		for (const listener of listeners) {
			listener(snapshot);
		}

		return true;
	}
}
