import type {WarmupHandover, WarmupOptions} from '../warmup/index.js';

/** Settings of an admission point. */
export type AdmissionOptions = {
	/** Fencing number of the owner, carried by every permit. */
	fencingNumber?: number;
	/** Time in ms after which a permit expires unless it is renewed. */
	permitLifetimeMs?: number;
	/** Largest number of queued requests; further ones are refused. */
	maxQueued?: number;
	/** Greatest age in ms of the state that a report shows when it arrives. */
	reportLagMs?: number;
	/** Time in ms without a report after which requests are refused instead of queued. */
	reportTimeoutMs?: number;
	/** False for backend servers without status reports, such as plain services. */
	hasReports?: boolean;
	/** Prefill of one lane that may be in flight on the engine at a time, in ms at the server's prefill rate. */
	prefillWindowMs?: number;
	/** Waiting time in ms after which a request takes precedence over shorter prompts and capacity is set aside for it. */
	agingMs?: number;
	/** Share of the engine's time that is kept for longer prompts while they wait. */
	longPrefillShare?: number;
	/** Time in ms per generated token, for deadline estimates until it is measured. */
	decodeMsPerToken?: number;
	/** Warm-up level measured by the former owner; used when the first report shows the same boot id. */
	handover?: WarmupHandover | undefined;
	warmup?: WarmupOptions;
};

/** Settings of an admission point with their defaults applied. */
export type ResolvedAdmissionOptions = Required<Omit<AdmissionOptions, 'handover'>> & Pick<AdmissionOptions, 'handover'>;

/** Replaces each missing setting by its default. */
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
