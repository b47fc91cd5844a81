import {
	createError, createOk, type Configuration, type Result,
} from '@knapweedrack/core';
import {
	parseSource, validateSource, type SourceFile, type ValidationProblem,
} from '../documents/yaml-document.js';
import {listPlansFileProblems, listWorkspacesFileProblems} from './list-references.js';
import {
	loosePlansFileSchema, looseWorkspacesFileSchema, planKeys, plansFileSchema, workspacesFileSchema,
} from './list-schemas.js';

/** Content of `plans.yaml` and `workspaces.yaml`; the revision is assigned when they are applied. */
export type ConfigurationLists = Omit<Configuration, 'revision'>;

/** Parses `workspaces.yaml` and `plans.yaml`; returns all problems of both at once. */
export const parseLists = (workspacesFile: SourceFile, plansFile: SourceFile): Result<ConfigurationLists, ValidationProblem[]> => {
	const plansSource = parseSource(plansFile);
	const workspacesSource = parseSource(workspacesFile);
	const plans = validateSource(plansSource, plansFileSchema, planKeys);
	const workspaces = validateSource(workspacesSource, workspacesFileSchema, []);
	const loosePlans = loosePlansFileSchema.parse(plansSource.value);
	const problems = [
		...plans.problems,
		...listPlansFileProblems(plansSource, loosePlans),
		...workspaces.problems,
		// When `plans.yaml` cannot be parsed, every workspace would be reported as having an unknown plan.
		...(plansSource.value === undefined ? [] : listWorkspacesFileProblems(workspacesSource, looseWorkspacesFileSchema.parse(workspacesSource.value), loosePlans)),
	];
	if (plans.value === undefined || workspaces.value === undefined || problems.length > 0) {
		return createError(problems);
	}

	return createOk({plans: plans.value.plans, services: plans.value.services, workspaces: workspaces.value.workspaces});
};
