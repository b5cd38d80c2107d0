/**
 * Reads files that are named on the command line.
 */
import fs from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';

/** Returns the text of a file, or why it cannot be read. */
export function readTextFile(name: string): Result<string, Diagnostic> {
	try {
		return ok(fs.readFileSync(name, 'utf8'));
	} catch (err_) {
		return err(createDiagnostic(Diagnostics.File_cannot_be_read, name, err_ instanceof Error ? err_.message : String(err_)));
	}
}
