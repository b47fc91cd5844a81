/** Faults of the matrix, in the order of its rows. */
export const faults = [
	'entry killed',
	'entry frozen',
	'connection cut',
	'slow answer',
	'object API down',
	'answer lost after write',
	'lease lapsed while paused',
	'instance list lagging',
	'engine cold without warning',
	'content crashes engine',
	'crossed frames',
	'late frames',
	'truncated frames',
	'duplicated frames',
	'operators racing',
] as const;
/** Name of a fault, as shown in the matrix. */
export type Fault = (typeof faults)[number];

/** Steps of a request, in the order of the columns. The claim is created before the permit and marked as dispatched in step `dispatch`. */
export const steps = [
	'resolve entry',
	'connect',
	'admit',
	'limit slice',
	'permit',
	'claim',
	'dispatch',
	'prefill',
	'first token',
	'stream',
	'finish',
	'outcome write',
	'release',
] as const;
/** Name of a step, as shown in the matrix. */
export type Step = (typeof steps)[number];

/** Kinds of scripted requests: an idempotent completion, a non-idempotent service call and a prompt on a group of engines. */
export const requestKinds = ['completion', 'service call', 'group prompt'] as const;
/** Name of a kind of request. */
export type RequestKind = (typeof requestKinds)[number];

/** Whether the cell of a fault and a step is run, and why not otherwise. */
export type CellPlan =
	| {type: 'run'; kinds: readonly RequestKind[]}
	| {type: 'not applicable' | 'not proved'; reason: string};

const frameSteps: ReadonlySet<Step> = new Set(['first token', 'stream', 'finish']);
const engineSteps: ReadonlySet<Step> = new Set(['prefill', ...frameSteps]);
const frameFaults: ReadonlySet<Fault> = new Set(['crossed frames', 'late frames', 'truncated frames', 'duplicated frames']);
const promptKinds: readonly RequestKind[] = ['completion', 'group prompt'];
const stepsBeforeServerSelection: ReadonlySet<Step> = new Set(['resolve entry', 'connect']);

const isFrameFault = (fault: Fault): boolean => frameFaults.has(fault);

const notApplicable: ReadonlyArray<{matches: (fault: Fault, step: Step) => boolean; reason: string}> = [
	{matches: (fault, step) => isFrameFault(fault) && !frameSteps.has(step), reason: 'no frame is read at this step'},
	{matches: (fault, step) => fault === 'content crashes engine' && !engineSteps.has(step), reason: 'the engine does not run the content at this step'},
	{
		matches: (fault, step) => fault === 'answer lost after write' && !['permit', 'limit slice', 'claim', 'dispatch', 'finish', 'outcome write', 'release'].includes(step),
		reason: 'the step changes no state outside the entry',
	},
	{matches: (fault, step) => fault === 'connection cut' && step === 'admit', reason: 'the step uses no connection'},
	{matches: (fault, step) => fault === 'slow answer' && step === 'admit', reason: 'the step waits for no answer'},
	{
		matches: (fault, step) => fault === 'instance list lagging' && !['resolve entry', 'connect', 'permit', 'dispatch'].includes(step),
		reason: 'the step does not read the instance list',
	},
	{matches: (fault, step) => fault === 'engine cold without warning' && stepsBeforeServerSelection.has(step), reason: 'no backend server has been chosen'},
];

const notProved: ReadonlyArray<{matches: (fault: Fault, step: Step) => boolean; reason: string}> = [
	{
		matches: (fault, step) => fault === 'slow answer' && stepsBeforeServerSelection.has(step),
		reason: 'the time limit of the answer is kept by the client of the caller',
	},
	{
		matches: (fault, step) => fault === 'connection cut' && step === 'release',
		reason: 'resending of a batch of releases is part of the permit client of the entry, which is not run here',
	},
];

const resolveKinds = (fault: Fault, step: Step): readonly RequestKind[] => {
	if (step === 'claim' || step === 'outcome write') {
		return ['service call'];
	}

	if (isFrameFault(fault) || fault === 'content crashes engine' || fault === 'engine cold without warning' || step === 'prefill') {
		return promptKinds;
	}

	return requestKinds;
};

/** Decides whether the cell of a fault and a step is run, and with which kinds of requests. */
export const resolveCell = (fault: Fault, step: Step): CellPlan => {
	const exclusionRule = notApplicable.find(rule => rule.matches(fault, step));
	if (exclusionRule !== undefined) {
		return {type: 'not applicable', reason: exclusionRule.reason};
	}

	const unprovedRule = notProved.find(rule => rule.matches(fault, step));
	if (unprovedRule !== undefined) {
		return {type: 'not proved', reason: unprovedRule.reason};
	}

	const kinds = resolveKinds(fault, step);
	return fault === 'engine cold without warning' && (step === 'claim' || step === 'outcome write')
		? {type: 'not applicable', reason: 'a prompt has no claim, and a plain service has no warm-up'}
		: {type: 'run', kinds};
};
