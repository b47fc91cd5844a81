import {recordPassedTest} from './test-records.js';

/** Root hooks of the test runner. */
export const mochaHooks = {
	afterEach(this: Mocha.Context) {
		const test = this.currentTest;
		if (test?.state === 'passed' && test.file !== undefined) {
			recordPassedTest(test.file, test.fullTitle());
		}
	},
};
