/**
 * The command line: its commands, their options and help.
 */
import sade from 'sade';
import {formatDiagnostic} from '../diagnostics.js';
import {tryGetNearest} from '../edit-distance.js';
import {runApply} from './apply.js';
import {runCancel} from './cancel.js';
import {runCheck} from './check.js';
import {runDiff} from './diff.js';
import {runDrain} from './drain.js';
import {runGet} from './get.js';
import {runHistory} from './history.js';
import {runStatus} from './status.js';
import {runSubmit} from './submit.js';
import {runToken} from './token.js';
import {runTrace} from './trace.js';
import type {CliHost, Command, Options} from './types.js';

/** Exit code of the program. */
export type ExitCode = 0 | 1;

type OptionDescription = readonly [flag: string, text: string];

type CommandDescription = {
	/** Name and arguments, for instance "get [kind] [name]". */
	readonly usage: string;
	readonly text: string;
	readonly options: readonly OptionDescription[];
	readonly run: Command;
};

const platformOptions: readonly OptionDescription[] = [
	['--platform', 'Address of the platform service, or KINGCUPLANE_PLATFORM'],
];

const entryOptions: readonly OptionDescription[] = [
	['--entry', 'Address of any entry, or KINGCUPLANE_ENTRY'],
	['--token', 'Bearer token, or KINGCUPLANE_TOKEN'],
];

const publishOptions: readonly OptionDescription[] = [
	...platformOptions,
	['--author', 'Who publishes, or KINGCUPLANE_AUTHOR'],
	['--reason', 'Why, for the audit trail'],
	['--id', 'Identifier of the change set; repeat it if the outcome was not known'],
];

const tokenOptions: readonly OptionDescription[] = [
	...platformOptions,
	['--role', 'caller, operator or support'],
	['--team', 'Team whose quota is used'],
	['--name', 'Name in records; default the id'],
	['--withdraw', 'Delete the token instead'],
];

const commands: readonly CommandDescription[] = [
	{
		usage: 'check <file>', text: 'Check files of objects as a whole; several files may be given', options: [...platformOptions, ['--json', 'Print errors, warnings and differences as JSON'], ['--strict', 'Fail on warnings too']], run: runCheck,
	},
	{
		usage: 'diff <file>', text: 'Show what files of objects would change', options: platformOptions, run: runDiff,
	},
	{
		usage: 'apply <file>', text: 'Publish files of objects as one change set', options: [...publishOptions, ['--base', 'Version that the files were made for; default the newest']], run: runApply,
	},
	{
		usage: 'get [kind] [name]', text: 'Show published objects', options: platformOptions, run: runGet,
	},
	{
		usage: 'history', text: 'Show who published what, newest first', options: [...platformOptions, ['--limit', 'Most versions shown; default 20']], run: runHistory,
	},
	{
		usage: 'drain [upstream]', text: 'Publish that an upstream or a data centre takes no new work', options: [...publishOptions, ['--data-centre', 'Data centre whose upstreams take no new work'], ['--undo', 'Let it take work again']], run: runDrain,
	},
	{
		usage: 'token <id>', text: 'Create a token and show it once', options: tokenOptions, run: runToken,
	},
	{
		usage: 'status', text: 'List the processes with the version in force in each', options: entryOptions, run: runStatus,
	},
	{
		usage: 'trace <ticket>', text: 'Tell what became of a submission', options: entryOptions, run: runTrace,
	},
	{
		usage: 'submit <submission>',
		text: 'Submit a job and wait for its answer',
		options: [
			...entryOptions,
			['--payload', 'Payload of one task; may be repeated'],
			['--payloads', 'File with the payload of one task on each line'],
			['--reference', 'The caller\'s own name for the job'],
			['--deadline', 'Longest wait for the answer in milliseconds'],
			['--ticket', 'Send again under this ticket'],
		],
		run: runSubmit,
	},
	{
		usage: 'cancel <ticket>', text: 'Cancel a submission', options: entryOptions, run: runCancel,
	},
];

const flagOptions = new Set(['undo', 'withdraw', 'json', 'strict']);

/** Runs the command that `argv` selects. The first two items are skipped, as in `process.argv`. */
export async function runCli(host: CliHost, argv: readonly string[]): Promise<ExitCode> {
	const selected = parseArguments(argv);
	if (selected === undefined) {
		return 0;
	}

	const {command, args, options} = selected;
	const result = await command.run(host, {args, options});
	for (const diagnostic of result.isErr() ? result.error : []) {
		host.printError(formatDiagnostic(diagnostic));
	}

	return result.isOk() ? 0 : 1;
}

type Selection = {
	readonly command: CommandDescription;
	readonly args: readonly string[];
	readonly options: Options;
};

/** Parses the arguments; undefined if they only request help. */
function parseArguments(argv: readonly string[]): Selection | undefined {
	const program = sade('kingcuplane');
	for (const command of commands) {
		program.command(command.usage, command.text);
		for (const [flag, text] of command.options) {
			program.option(flag, text);
		}

		program.action(() => command);
	}

	const names = [...new Set(commands.flatMap(command => command.options.map(([flag]) => flag.slice(2))))];
	const parsed: sade.LazyOutput | undefined = program.parse([...argv], {
		lazy: true,
		string: names.filter(name => !flagOptions.has(name)),
		boolean: [...flagOptions],
		unknown: flag => `There is no option ${flag}; the nearest known one is --${tryGetNearest(flag.replace(/^-+/v, ''), names)}.`,
	});
	return parsed === undefined ? undefined : toSelection(parsed);
}

function toSelection({name, args}: sade.LazyOutput): Selection | undefined {
	const command = commands.find(({usage}) => usage.split(' ')[0] === name);
	const options: unknown = args.at(-1);
	if (command === undefined || typeof options !== 'object') {
		return undefined;
	}

	const given: Options = {...options};
	const rest: readonly unknown[] = Array.isArray(given._) ? given._ : [];
	return {
		command,
		args: [...args.slice(0, -1), ...rest].filter(item => item !== undefined).map(String),
		options: given,
	};
}
