/**
 * Command that runs the cases of the review; exits with 1 if a rule was broken, and with 2 if a run came to no result.
 */
import process from 'node:process';
import sade from 'sade';
import {runCases, type CaseResult} from './review-cases.js';

type Options = {
	readonly runs: number;
	readonly busy: number;
	readonly case: string | number;
};

sade('review', true)
	.describe('Runs the cases under review/ on the deployed build and counts how often their rules were broken.')
	.option('--runs', 'Runs of each case', 5)
	.option('--busy', 'Number of busy processes beside them', 0)
	.option('--case', 'Cases to run, joined by commas; all by default', '')
	.action(async ({runs, busy, case: names}: Options) => {
		const results = await runCases({
			folder: 'review',
			names: String(names).split(',').filter(name => name !== ''),
			runs,
			busy,
			onRun(name, code, lastLine) {
				console.log(`review/${name}: exit code ${code}: ${lastLine}`);
			},
		});
		for (const result of results) {
			console.log(format(result));
		}

		process.exitCode = getExitCode(results);
	})
	.parse(process.argv);

function format({name, runs, broken, notRun}: CaseResult): string {
	return `review/${name}: broken ${broken} of ${runs}${notRun === 0 ? '' : `, without a result ${notRun}`}`;
}

function getExitCode(results: readonly CaseResult[]): number {
	if (results.some(({broken}) => broken > 0)) {
		return 1;
	}

	return results.length === 0 || results.some(({notRun}) => notRun > 0) ? 2 : 0;
}
