import type {WarmupHandover, WarmupOptions} from '../warmup/index.js';

/** Settings of an admission point. */
export type AdmissionOptions = {
	/** Fencing number of the owner, carried by every permit. */
	fencingNumber?: number;
	permitLifetimeMs?: number;
	/** Largest number of queued requests. */
	maxQueued?: number;
	/** Oldest state in ms that a report can show when it arrives. */
	reportLagMs?: number;
	/** Time in ms without a report after which requests are refused instead of queued. */
	reportTimeoutMs?: number;
	/** False for backend servers without status reports, such as plain services. */
	hasReports?: boolean;
	/** Prefill work in ms of one lane that is handed to the engine at a time. */
	prefillWindowMs?: number;
	/** Waiting time in ms after which a request may claim capacity before shorter prompts. */
	agingMs?: number;
	/** Share of the time in which the engine is left to longer prompts while they wait for it. */
	longPrefillShare?: number;
	/** Time in ms per generated token, for deadline estimates. */
	decodeMsPerToken?: number;
	/** Warm-up level measured by the former owner; used when the first report shows the same boot id. */
	handover?: WarmupHandover | undefined;
	warmup?: WarmupOptions;
};

/** Settings with their defaults applied. */
export type ResolvedAdmissionOptions = Required<Omit<AdmissionOptions, 'handover'>> & Pick<AdmissionOptions, 'handover'>;

/** Applies the defaults. */
export const resolveAdmissionOptions = (options: AdmissionOptions): ResolvedAdmissionOptions => ({
	fencingNumber: options.fencingNumber ?? 0,
	permitLifetimeMs: options.permitLifetimeMs ?? 10_000,
	maxQueued: options.maxQueued ?? 512,
	reportLagMs: options.reportLagMs ?? 2000,
	reportTimeoutMs: options.reportTimeoutMs ?? 5000,
	hasReports: options.hasReports ?? true,
	prefillWindowMs: options.prefillWindowMs ?? 400,
	agingMs: options.agingMs ?? 3000,
	longPrefillShare: options.longPrefillShare ?? 0.05,
	decodeMsPerToken: options.decodeMsPerToken ?? 20,
	handover: options.handover,
	warmup: options.warmup ?? {},
});
