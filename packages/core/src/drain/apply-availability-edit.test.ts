import {expect} from 'chai';
import fc from 'fast-check';
import type {Availability} from '../types/configuration.js';
import {
	applyDomainEdit, applyInstanceEdit, initialAvailability, isInService, type DrainInstance,
} from './apply-availability-edit.js';

const instances: DrainInstance[] = ['north', 'south', 'east'].flatMap(failureDomain => ['1', '2'].map(number =>
	({
		id: `${failureDomain}${number}`, failureDomain, isEntry: true, isLive: true,
	})));

describe('availability edits', () => {
	// Guards against several edits that together take the last entry out of service.
	it('keep an entry in service after any sequence of edits', () => {
		const edit = fc.record({isDomain: fc.boolean(), index: fc.nat(5), state: fc.constantFrom('in_service' as const, 'out_of_service' as const)});
		fc.assert(fc.property(fc.array(edit, {maxLength: 30}), edits => {
			let availability: Availability = initialAvailability;
			for (const [number, {isDomain, index, state}] of edits.entries()) {
				const {id, failureDomain} = instances[index]!;
				const common = {editId: `${number}`, state, instances};
				const result = isDomain ? applyDomainEdit(availability, {...common, failureDomain}) : applyInstanceEdit(availability, {...common, instanceId: id});
				if (result.ok) {
					const repeated = isDomain ? applyDomainEdit(result.value, {...common, failureDomain}) : applyInstanceEdit(result.value, {...common, instanceId: id});
					expect(repeated).to.deep.equal(result);
					availability = result.value;
				}

				const current = availability;
				expect(instances.some(instance => isInService(current, instance))).to.equal(true);
			}
		}), {seed: 17, numRuns: 1000});
	});

	// Guards against a mistyped name that is accepted as an edit without effect.
	it('refuse unknown names', () => {
		const common = {editId: 'x', state: 'out_of_service' as const, instances};
		expect(applyDomainEdit(initialAvailability, {...common, failureDomain: 'nroth'})).to.have.nested.property('error.code', 'unknown_failure_domain');
		expect(applyInstanceEdit(initialAvailability, {...common, instanceId: 'n9'})).to.have.nested.property('error.code', 'unknown_instance');
	});
});
