/**
 * Fleet size up to which all entries send reports to each other; above it the number of datagrams per change would grow with
 * the whole fleet.
 */
export const directEntryLimit = 12;

/** An entry and the failure domain that it runs in. */
export type PlacedEntry = {id: string; failureDomain: string};

/** Recipients of the reports of an entry. */
export type ReportTopology = {
	/** Ids of the entries that receive each change directly. */
	memberIds: string[];
	/** Id of the collector of each other failure domain, which receives summaries; empty while all entries send to each other directly. */
	collectorIds: string[];
	/** True when this entry sends the summaries of its failure domain. */
	isCollector: boolean;
};

/**
 * Sorted failure domains with running entries, including this entry's, in a fleet whose loads come in summaries; empty in a fleet
 * whose entries report to each other directly.
 */
export const listSummaryDomains = (self: PlacedEntry, others: readonly PlacedEntry[], isRunning: (id: string) => boolean): string[] => {
	const isDirect = others.length < directEntryLimit || others.every(({failureDomain}) => failureDomain === self.failureDomain);
	const running = others.filter(({id}) => isRunning(id));
	return isDirect ? [] : [...new Set([self, ...running].map(({failureDomain}) => failureDomain))].toSorted();
};

/**
 * Selects the recipients of an entry's reports. In a large fleet, the entries of a failure domain send reports to each other directly.
 * The running entry with the lowest id is the collector of its failure domain: it exchanges summaries with the other collectors and
 * relays them within its domain, so that the traffic between failure domains does not grow with the number of requests.
 */
export const selectTopology = (self: PlacedEntry, others: readonly PlacedEntry[], isRunning: (id: string) => boolean): ReportTopology => {
	if (others.length < directEntryLimit) {
		return {memberIds: others.map(({id}) => id), collectorIds: [], isCollector: false};
	}

	const members = others.filter(({failureDomain}) => failureDomain === self.failureDomain);
	const collectors = new Map<string, string>();
	for (const {id, failureDomain} of others) {
		const known = collectors.get(failureDomain);
		if (failureDomain !== self.failureDomain && isRunning(id) && (known === undefined || id < known)) {
			collectors.set(failureDomain, id);
		}
	}

	return {
		memberIds: members.map(({id}) => id),
		collectorIds: [...collectors.values()],
		isCollector: members.every(({id}) => self.id < id || !isRunning(id)),
	};
};
