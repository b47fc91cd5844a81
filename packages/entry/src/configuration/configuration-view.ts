import {timingSafeEqual} from 'node:crypto';
import type {Configuration, Workspace} from '@knapweedrack/core';
import {hashText} from '@knapweedrack/protocol';
import type {ConfigurationView} from '../contracts.js';

const digestPrefix = 'sha256:';

/** Builds the look-up tables of a configuration, by plan id and by credential digest. */
export const createConfigurationView = (configuration: Configuration): ConfigurationView => {
	const plans = new Map(configuration.plans.map(plan => [plan.id, plan]));
	const workspaces = new Map<string, Workspace>();
	for (const workspace of configuration.workspaces) {
		for (const digest of workspace.credentialDigests) {
			workspaces.set(digest, workspace);
		}
	}

	return {
		configuration,
		findWorkspaceByCredential(credential) {
			const digest = `${digestPrefix}${hashText(credential)}`;
			const workspace = workspaces.get(digest);
			// The map is keyed by digests, so the timing of its look-up reveals nothing about a credential; the comparison in constant time decides.
			return workspace?.credentialDigests.some(known => isEqual(known, digest)) ? workspace : undefined;
		},
		getPlan: planId => plans.get(planId),
	};
};

const encoder = new TextEncoder();

const isEqual = (left: string, right: string): boolean =>
	left.length === right.length && timingSafeEqual(encoder.encode(left), encoder.encode(right));
