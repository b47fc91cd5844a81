import {proofStates, type Guarantee} from './guarantee-list.js';

/** A test with its full title and its file, relative to the repository. */
export type TestTitle = {file: string; title: string};

/** What is known about the tests of a run. */
export type TestRun = {
	/** Tests that have passed. */
	passed: readonly TestTitle[];
	/** Full titles of tests that are known to fail and were left out. */
	knownFailures: readonly string[];
};

/** Finds the claims of guarantees that a run of the tests does not confirm; returns a line for each. */
export const findGuaranteeProblems = (guarantees: readonly Guarantee[], {passed, knownFailures}: TestRun): string[] => {
	const titlesByFile = new Map<string, string[]>();
	for (const {file, title} of passed) {
		titlesByFile.set(file, [...titlesByFile.get(file) ?? [], title]);
	}

	return guarantees.flatMap(({rule, promise, state, tests}) => Object.entries(tests).flatMap(([file, claims]) => claims.flatMap(claim => {
		const guarantee = `${rule}, "${promise}"`;
		const problems: string[] = [];
		if (!(titlesByFile.get(file) ?? []).some(title => isCovered(title, claim))) {
			problems.push(`${guarantee}: no test "${claim}" of ${file} has passed`);
		}

		if (state === proofStates.proved && knownFailures.some(title => isCovered(title, claim))) {
			problems.push(`${guarantee}: is stated as proved, but a test of "${claim}" is known to fail`);
		}

		return problems;
	})));
};

/** True when a test is the claimed one or belongs to the claimed group. */
const isCovered = (title: string, claim: string): boolean => title === claim || title.startsWith(`${claim} `);
