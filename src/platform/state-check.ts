/**
 * Checks a configuration of the platform's operators before they write it to the store, and compares it with the one in force.
 */
import {Buffer} from 'node:buffer';
import {formatDiagnostic} from '../process/diagnostics.js';
import {diffRoutes} from '../version/diff.js';
import {findConfigProblems} from '../version/findings.js';
import {createDesiredStateCodec} from './desired-state.js';

/** A file with a configuration. */
export type StateFile = {
	readonly name: string;
	readonly text: string;
};

/** What a check has found, as lines for operators. */
export type StateCheck = {
	/** Whether processes would reject the configuration. */
	readonly isValid: boolean;
	readonly lines: readonly string[];
};

/** Checks `next`; `current` is the configuration in force, if there is one. */
export function checkState(next: StateFile, current?: StateFile): StateCheck {
	const codec = createDesiredStateCodec();
	const decode = ({name, text}: StateFile) => codec.decode(Buffer.from(text), name);
	const decoded = decode(next);
	if (decoded.isErr()) {
		return {isValid: false, lines: [formatDiagnostic(decoded.error)]};
	}

	const snapshot = decoded.value;
	const warnings = findConfigProblems(snapshot)
		.filter(({object}) => !isInternal(object?.kind))
		.map(({diagnostic}) => `warning: ${formatDiagnostic(diagnostic)}`);
	const inForce = current && decode(current);
	if (inForce === undefined) {
		return {isValid: true, lines: [`Version ${snapshot.version} is valid.`, ...warnings]};
	}

	if (inForce.isErr()) {
		return {isValid: false, lines: [formatDiagnostic(inForce.error)]};
	}

	const {version} = inForce.value;
	return {
		isValid: snapshot.version > version,
		lines: [
			snapshot.version > version
				? `Version ${snapshot.version} is valid and can follow version ${version}.`
				: `Version ${snapshot.version} cannot follow version ${version}: processes ignore versions that are not higher.`,
			...diffRoutes(inForce.value, snapshot),
			...warnings,
		],
	};
}

/** Whether objects of this kind are created by this program and not stated by the operators. */
function isInternal(kind: string | undefined): boolean {
	return kind === 'team' || kind === 'policy' || kind === 'submission';
}
