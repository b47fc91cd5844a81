/** Builds a permit id that carries the attempt id, so that a new owner can adopt the permit from its renewal. */
export const buildPermitId = (fencingNumber: number, sequence: number, attemptId: string): string =>
	`${fencingNumber}.${sequence}.${attemptId}`;

/** Reads the attempt id of a permit id; `undefined` when the id has another form. */
export const parsePermitAttemptId = (permitId: string): string | undefined =>
	/^\d+\.\d+\.(?<attemptId>.+)$/v.exec(permitId)?.groups?.attemptId;
