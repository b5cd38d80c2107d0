#!/usr/bin/env node
/**
 * Runs the program on the platform from its single modules, for tests; launch.ts runs the bundle.
 */
import process from 'node:process';

// A signal about changed settings must not end a process whose modules are still being loaded.
process.on('SIGHUP', () => undefined);
await import('./program.js');
