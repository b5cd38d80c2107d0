/**
 * Incarnations: each identifies one run of a process. A restarted process is a new incarnation.
 */
import {randomBytes} from 'node:crypto';

const randomByteCount = 10;

/** Creates a random identifier that no other run of any process has. */
export function createIncarnation(): string {
	return BigInt(`0x${randomBytes(randomByteCount).toString('hex')}`).toString(36).padStart(16, '0');
}
