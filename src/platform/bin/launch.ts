#!/usr/bin/env node
/**
 * Runs the bundled program of the platform with V8's code cache: `kingcuplane-platform entry` or
 * `kingcuplane-platform agent`. Compiling the bundle takes a fifth of the processor time of a start, and a machine with a
 * small share of a core starts again often. With `--write-code-cache` the cache of that role is written instead; V8 accepts
 * it only from a process with the same options of Node.js.
 */
import fs from 'node:fs';
import Module, {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import v8 from 'node:v8';
import vm from 'node:vm';

/** The function that CommonJS wraps around a module. */
type ModuleFunction = (exports: unknown, require: NodeJS.Require, module: unknown, filename: string, dirname: string) => void;

const folder = path.dirname(fileURLToPath(import.meta.url));
const bundle = path.join(folder, 'program.cjs');
const cacheFile = path.join(folder, `program-${process.argv[2] ?? ''}.cache`);

// A signal about changed settings must not end a process that is still starting.
process.on('SIGHUP', () => undefined);

if (process.argv[3] === '--write-code-cache') {
	writeCodeCache();
} else {
	runProgram();
}

function runProgram(): void {
	const cachedData = fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined;
	const script = compile(cachedData);
	if (script.cachedDataRejected) {
		console.error(`the code cache ${cacheFile} does not fit this process; run the build again`);
	}

	const module = {exports: {}};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the text of the script is such a function
	const run = script.runInThisContext() as ModuleFunction;
	run(module.exports, createRequire(bundle), module, bundle, folder);
}

function writeCodeCache(): void {
	// Functions that have not been called yet are compiled, too.
	v8.setFlagsFromString('--no-lazy');
	const script = compile();
	// V8 compares the flags when the cache is read, and a running process has the default.
	v8.setFlagsFromString('--lazy');
	fs.writeFileSync(cacheFile, script.createCachedData());
}

function compile(cachedData?: Uint8Array): vm.Script {
	return new vm.Script(Module.wrap(fs.readFileSync(bundle, 'utf8')), {
		filename: bundle, cachedData, importModuleDynamically: vm.constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
	});
}
