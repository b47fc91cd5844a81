import type {WaitingDemand} from './room-sharing.js';

/** Age in ms after which a report no longer counts; three times the period in which entries repeat it. */
const reportLifetimeMs = 1500;

/** Latest reports of what waits at other entries. */
export class WaitingReports {
	readonly #reports = new Map<string, {demands: readonly WaitingDemand[]; receivedAt: number}>();

	/** Replaces the report of a source, which is an entry or a failure domain. */
	record(source: string, demands: readonly WaitingDemand[], now: number): void {
		this.#reports.set(source, {demands, receivedAt: now});
	}

	/** True while at least one report is fresh. */
	hasFresh(now: number): boolean {
		return [...this.#reports.values()].some(({receivedAt}) => now - receivedAt <= reportLifetimeMs);
	}

	/** What waits according to the fresh reports, of the given sources or of all. */
	list(now: number, isIncluded: (source: string) => boolean = () => true): WaitingDemand[] {
		const demands: WaitingDemand[] = [];
		for (const [source, report] of this.#reports) {
			if (now - report.receivedAt > reportLifetimeMs) {
				this.#reports.delete(source);
			} else if (isIncluded(source)) {
				demands.push(...report.demands);
			}
		}

		return demands;
	}
}

/** Adds up demands of the same service and urgency. */
export const mergeDemands = (demands: readonly WaitingDemand[]): WaitingDemand[] => {
	const merged = new Map<string, WaitingDemand>();
	for (const demand of demands) {
		const key = `${demand.urgency} ${demand.service}`;
		const known = merged.get(key);
		merged.set(key, known === undefined ? demand : {...known, requests: known.requests + demand.requests, cost: known.cost + demand.cost});
	}

	return [...merged.values()];
};
