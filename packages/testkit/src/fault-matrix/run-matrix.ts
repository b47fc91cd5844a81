import xxhash from 'xxhash-wasm';
import {
	faults, resolveCell, steps, type Fault, type RequestKind, type Step,
} from './fault-cells.js';
import {ScriptedRequest, type ScriptHashes} from './scripted-request.js';

/** Result of the cell of one fault and one step. */
export type CellResult = {
	fault: Fault;
	step: Step;
	status: 'held' | 'violated' | 'not applicable' | 'not proved';
	/** Requests run in the cell, over all kinds and seeds. */
	runs: number;
	/** Violated guarantees with kind and seed, or the reason why the cell was not run. */
	details: string[];
	/** Distinct final outcomes of the requests in the cell, sorted. */
	outcomes: string[];
};

/** Seeds of each cell. A seed selects the frame that a frame fault changes and the length of the pause of a frozen entry. */
export const matrixSeeds = [0, 1, 2, 3] as const;

/** Loads the WebAssembly module of xxHash and returns its hash functions. */
export const loadScriptHashes = async (): Promise<ScriptHashes> => {
	const api = await xxhash();
	return {create: () => api.create64(), hashText: text => api.h64ToString(text), hash32: text => api.h32(text)};
};

/** Runs the cell of a fault and a step with all of its request kinds and seeds. */
export const runCell = (fault: Fault, step: Step, hashes: ScriptHashes): CellResult => {
	const plan = resolveCell(fault, step);
	if (plan.type !== 'run') {
		return {
			fault, step, status: plan.type, runs: 0, details: [plan.reason], outcomes: [],
		};
	}

	const runs = plan.kinds.flatMap(kind => matrixSeeds.map(seed => runRequest(fault, step, {kind, seed, hashes})));
	const details = runs.flatMap(run => run.details);
	return {
		fault, step, status: details.length === 0 ? 'held' : 'violated', runs: runs.length, details, outcomes: [...new Set(runs.map(run => run.outcome))].toSorted(),
	};
};

const runRequest = (fault: Fault, step: Step, {kind, seed, hashes}: {kind: RequestKind; seed: number; hashes: ScriptHashes}) => {
	const request = new ScriptedRequest({
		fault, step, kind, seed, hashes,
	});
	const violations = request.run();
	// A run whose fault was never injected proves nothing, so it counts as a violation.
	const all = request.isInjected ? violations : [...violations, 'the fault was not injected'];
	return {details: all.map(violation => `${kind}, seed ${seed}: ${violation}`), outcome: request.outcomes[0]?.kind ?? 'broken connection'};
};

/** Runs all cells; the results are in the order of the rows, then of the columns. */
export const runMatrix = (hashes: ScriptHashes): CellResult[] =>
	faults.flatMap(fault => steps.map(step => runCell(fault, step, hashes)));
