import type {SourceDocument, ValidationProblem, ValuePath} from '../documents/yaml-document.js';
import type {LoosePlan, LoosePlansFile, LooseWorkspacesFile} from './list-schemas.js';

type Names = ReadonlyArray<string | undefined>;

const listDuplicates = (source: SourceDocument, values: Names, label: string, toPath: (index: number) => ValuePath) => {
	const seen = new Set<string>();
	const problems: ValidationProblem[] = [];
	for (const [index, value] of values.entries()) {
		if (value !== undefined && seen.has(value)) {
			problems.push(source.createProblem(toPath(index), `duplicate ${label} "${value}"`));
		}

		if (value !== undefined) {
			seen.add(value);
		}
	}

	return problems;
};

const listUnknown = (source: SourceDocument, {values, known}: {values: Names; known: Names}, label: string, toPath: (index: number) => ValuePath) => {
	const knownNames = new Set(known);
	const problems: ValidationProblem[] = [];
	for (const [index, value] of values.entries()) {
		if (value !== undefined && !knownNames.has(value)) {
			problems.push(source.createProblem(toPath(index), `unknown ${label} "${value}"`));
		}
	}

	return problems;
};

const listTargetProblems = (source: SourceDocument, plan: LoosePlan, path: ValuePath) => {
	const problems: ValidationProblem[] = [];
	let previous = 0;
	for (const [index, target] of plan.firstTokenTargets.entries()) {
		const targetPath = [...path, 'firstTokenTargets', index];
		const isLast = index === plan.firstTokenTargets.length - 1;
		if (isLast && target.upToTokens !== undefined) {
			problems.push(source.createProblem([...targetPath, 'upToTokens'], 'the last target must not have upToTokens, since it applies to all longer prompts'));
		} else if (!isLast && (target.upToTokens ?? 0) <= previous) {
			problems.push(source.createProblem([...targetPath, 'upToTokens'], 'upToTokens must rise from target to target'));
		}

		if (target.targetMs !== undefined && plan.deadlineMs !== undefined && target.targetMs > plan.deadlineMs) {
			problems.push(source.createProblem([...targetPath, 'targetMs'], `target of ${target.targetMs} ms lies past the deadline of ${plan.deadlineMs} ms`));
		}

		previous = target.upToTokens ?? previous;
	}

	return problems;
};

const listPlanProblems = (source: SourceDocument, file: LoosePlansFile, plan: LoosePlan, index: number) => {
	const path: ValuePath = ['plans', index];
	const kinds = [
		{key: 'models', label: 'model', known: file.models},
		{key: 'services', label: 'service', known: file.services.map(service => service.name)},
		{key: 'failureDomains', label: 'failure domain', known: file.failureDomains},
	] as const;
	const problems = kinds.flatMap(({key, label, known}) => {
		const toPath = (position: number) => [...path, key, position];
		return [...listUnknown(source, {values: plan[key], known}, label, toPath), ...listDuplicates(source, plan[key], label, toPath)];
	});
	if (plan.models.length === 0 && plan.services.length === 0) {
		problems.push(source.createProblem(path, 'the plan must allow at least one model or service'));
	}

	return [...problems, ...listTargetProblems(source, plan, path)];
};

/** Lists duplicates, unknown names and contradictory values in `plans.yaml`. */
export const listPlansFileProblems = (source: SourceDocument, file: LoosePlansFile): ValidationProblem[] => [
	...listDuplicates(source, file.models, 'model', index => ['models', index]),
	...listDuplicates(source, file.services.map(service => service.name), 'service', index => ['services', index, 'name']),
	...file.services.flatMap((service, position) => listDuplicates(source, service.idempotentMethods, 'method', index => ['services', position, 'idempotentMethods', index])),
	...listDuplicates(source, file.failureDomains, 'failure domain', index => ['failureDomains', index]),
	...listDuplicates(source, file.plans.map(plan => plan.id), 'plan', index => ['plans', index, 'id']),
	...file.plans.flatMap((plan, index) => listPlanProblems(source, file, plan, index)),
];

/** Lists duplicates, unknown names and reused credentials in `workspaces.yaml`. */
export const listWorkspacesFileProblems = (source: SourceDocument, file: LooseWorkspacesFile, plans: LoosePlansFile): ValidationProblem[] => {
	const planIds = plans.plans.map(plan => plan.id);
	const fleets = plans.fleet === undefined ? [] : [plans.fleet];
	const digests = file.workspaces.flatMap((workspace, index) => workspace.credentialDigests.map((digest, position) => ({digest, index, position})));
	return [
		...listDuplicates(source, file.workspaces.map(workspace => workspace.id), 'workspace', index => ['workspaces', index, 'id']),
		...listUnknown(source, {values: file.workspaces.map(workspace => workspace.plan), known: planIds}, 'plan', index => ['workspaces', index, 'plan']),
		...listUnknown(source, {values: file.workspaces.map(workspace => workspace.fleet), known: fleets}, 'fleet', index => ['workspaces', index, 'fleet']),
		...listDuplicates(source, digests.map(({digest}) => digest), 'credential digest', at => {
			const {index, position} = digests[at]!;
			return ['workspaces', index, 'credentialDigests', position];
		}),
	];
};
