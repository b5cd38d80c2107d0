/**
 * Runs the entry that forwards jobs, in the way of the platform's program.
 */
import process from 'node:process';

// A signal about changed settings must not end a process whose modules are still being loaded.
process.on('SIGHUP', () => undefined);
await import('./run-forwarding-entry.js');
