/**
 * Holds the version in force in this process. It only goes up, whatever the store or a peer serves and in whatever
 * order answers arrive.
 */
import type {Result} from 'neverthrow';
import {checkDefined} from '../process/debug.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {Snapshot} from './types.js';

/** How versions are written when they travel between processes. */
export type SnapshotCodec = {
	encode(snapshot: Snapshot): Uint8Array;
	/** `source` names the origin. */
	decode(bytes: Uint8Array, source: string): Result<Snapshot, Diagnostic>;
};

/** Called with each version that comes into force. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** What became of a version that was offered. */
export type OfferOutcome = 'in-force' | 'not-newer';

/** The version in force and who is told of it. */
export type SnapshotHolder = {
	/** Takes a version if it is newer. */
	applyIfNewer(snapshot: Snapshot): boolean;
	/** Takes an encoded version from a peer if it is newer. */
	offer(bytes: Uint8Array): Result<OfferOutcome, Diagnostic>;
	/** The version in force; throws before there is one. */
	get(): Snapshot;
	/** The version in force, if there is one yet. */
	tryGet(): Snapshot | undefined;
	/** The encoded version in force, to offer to peers. */
	tryGetEncoded(): Uint8Array | undefined;
	/** Calls `listener` with each version that comes into force from now on; gives a function that ends this. */
	onChange(listener: SnapshotListener): () => void;
};

/** Creates a holder that has no version yet. */
export function createSnapshotHolder(codec: SnapshotCodec, onFault: (diagnostic: Diagnostic) => void): SnapshotHolder {
	const listeners = new Set<SnapshotListener>();
	let inForce: Snapshot | undefined;
	let inForceBytes: Uint8Array | undefined;

	return {
		applyIfNewer: take,
		offer(bytes) {
			return codec.decode(bytes, 'a peer')
				.map((snapshot): OfferOutcome => take(snapshot) ? 'in-force' : 'not-newer')
				.orTee(onFault);
		},
		get: () => checkDefined(inForce, 'a configuration version is in force'),
		tryGet: () => inForce,
		tryGetEncoded() {
			inForceBytes ??= inForce === undefined ? undefined : codec.encode(inForce);
			return inForceBytes;
		},
		onChange(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};

	/** The only place where a version comes into force. It compares at that moment: a newer one may have come during a read. */
	function take(snapshot: Snapshot): boolean {
		if (snapshot.version <= (inForce?.version ?? 0)) {
			return false;
		}

		inForce = snapshot;
		inForceBytes = undefined;
		for (const listener of listeners) {
			listener(snapshot);
		}

		return true;
	}
}
