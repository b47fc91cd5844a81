import type {StoreFailure} from '@knapweedrack/platform-client';
import {createFailure} from '../program/command-result.js';
import {exitCodes, type ExitCode} from '../program/exit-codes.js';
import type {PlatformAccess} from './platform-access.js';
import {describeStoreFailure, type WriteOutcome} from './write-object.js';

/** What a failed command has changed, as stated in its error message. */
export const effects = {
	none: 'nothing was changed',
	readOnly: 'the command only reads',
} as const;

const exitCodeByKind = new Map<StoreFailure['kind'], ExitCode>([
	['unavailable', exitCodes.unreachable],
	['unknown', exitCodes.unreachable],
	['rate_limited', exitCodes.unreachable],
	['not_found', exitCodes.notFound],
]);

/** Selects the exit code for a failed call; kinds that are not listed above are general failures. */
const selectExitCode = (kind: StoreFailure['kind']): ExitCode => exitCodeByKind.get(kind) ?? exitCodes.failure;

/** Builds the failure of a read; `effect` says whether the command changed anything so far. */
export const createReadFailure = (access: PlatformAccess, failure: StoreFailure, effect: string) => {
	const exitCode = selectExitCode(failure.kind);
	const subject = exitCode === exitCodes.unreachable ? `the platform ${access.address} cannot be reached` : 'a call to the platform failed';
	return createFailure(exitCode, `${subject}: ${describeStoreFailure(failure)}; ${effect}`, {effect: 'none', platform: access.address});
};

/** Builds the failure of a write that did not take effect or whose outcome is unknown. */
export const createWriteFailure = (access: PlatformAccess, outcome: Extract<WriteOutcome, {kind: 'not_written' | 'unknown'}>, edit: {editId: string; checkWith: string}) => {
	const data = {platform: access.address, editId: edit.editId};
	if (outcome.kind === 'not_written') {
		const message = `the platform ${access.address} did not accept the change: ${outcome.message}; the change did not take effect`;
		return createFailure(selectExitCode(outcome.failure), message, {...data, effect: 'none'});
	}

	const message = [
		`the platform ${access.address} did not confirm the change: ${outcome.message}; the change may have taken effect`,
		`look for edit ${edit.editId} with "${edit.checkWith}" once the platform responds again`,
	].join('\n');
	return createFailure(exitCodes.unknown, message, {...data, effect: 'unknown'});
};
