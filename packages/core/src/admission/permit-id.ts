/** Builds a permit id that carries the attempt id, so that a new owner can adopt the permit from its renewal. */
export const buildPermitId = (fencingNumber: number, sequence: number, attemptId: string): string =>
	`${fencingNumber}.${sequence}.${attemptId}`;

/** Reads a permit id; `undefined` when it has another form. */
export const parsePermitId = (permitId: string): {fencingNumber: number; attemptId: string} | undefined => {
	const groups = /^(?<fencingNumber>\d+)\.\d+\.(?<attemptId>.+)$/v.exec(permitId)?.groups;
	return groups?.fencingNumber === undefined || groups.attemptId === undefined
		? undefined
		: {fencingNumber: Number(groups.fencingNumber), attemptId: groups.attemptId};
};
