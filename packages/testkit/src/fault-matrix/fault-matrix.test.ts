import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {faults, requestKinds, steps} from './fault-cells.js';
import {renderMatrix} from './render-matrix.js';
import {loadScriptHashes, runMatrix, type CellResult} from './run-matrix.js';
import {ScriptedRequest, type ScriptHashes} from './scripted-request.js';

describe('fault matrix', () => {
	let hashes: ScriptHashes;
	let results: CellResult[];

	before(async () => {
		hashes = await loadScriptHashes();
		results = runMatrix(hashes);
	});

	// Guards against a cell that is missing from the matrix, and against one that is not run without a reason.
	it('has a result or a reason for every fault at every step', () => {
		expect(results).to.have.length(faults.length * steps.length);
		expect(results.filter(cell => cell.runs === 0 && cell.details.length === 0)).to.be.empty;
	});

	// A script that refused or failed every request would violate no guarantee and prove nothing.
	it('completes each kind of request without a fault', () => {
		for (const kind of requestKinds) {
			const request = new ScriptedRequest({
				fault: undefined, step: 'connect', kind, seed: 0, hashes,
			});
			expect(request.run()).to.deep.equal([]);
			expect(request.outcomes).to.deep.equal([{kind: 'completed'}]);
		}
	});

	const listViolated = (fault: string) => results.filter(cell => cell.fault === fault && cell.status === 'violated');

	for (const fault of faults) {
		// Guards against a fault that breaks a guarantee at any step of the request.
		it(`keeps the guarantees with ${fault}`, () => {
			expect(listViolated(fault)).to.deep.equal([]);
		});
	}

	// Guards against a committed page that was generated from another version of the code.
	it('equals the committed page', async () => {
		const page = await readFile(new URL('../../../../docs/fault-matrix.md', import.meta.url), 'utf8');
		expect(page).to.equal(renderMatrix(results));
	});
});
