/** Builds a permit id that contains the attempt id, so that a new owner can take over the permit from a renewal alone. */
export const buildPermitId = (fencingNumber: number, sequence: number, attemptId: string): string =>
	`${fencingNumber}.${sequence}.${attemptId}`;

/** Parses a permit id; `undefined` when it is malformed. */
export const parsePermitId = (permitId: string): {fencingNumber: number; attemptId: string} | undefined => {
	const groups = /^(?<fencingNumber>\d+)\.\d+\.(?<attemptId>.+)$/v.exec(permitId)?.groups;
	return groups?.fencingNumber === undefined || groups.attemptId === undefined
		? undefined
		: {fencingNumber: Number(groups.fencingNumber), attemptId: groups.attemptId};
};
