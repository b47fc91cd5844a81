/** Most entries that all tell one another directly; beyond it the datagrams of a change would grow with the whole fleet. */
export const directEntryLimit = 12;

/** An entry and the failure domain that it runs in. */
export type PlacedEntry = {id: string; failureDomain: string};

/** Whom an entry tells its news. */
export type ReportTopology = {
	/** Entries that hear of each change directly. */
	memberIds: string[];
	/** The entry of each other failure domain that takes its summaries; empty while all entries tell one another directly. */
	collectorIds: string[];
	/** True when this entry sends the summaries of its failure domain. */
	isCollector: boolean;
};

/**
 * Selects whom an entry tells its news. In a large fleet the entries of a failure domain tell one another directly, and the first
 * one of each that runs, its collector, exchanges summaries with those of the other failure domains and passes them on, so that
 * the traffic between failure domains does not grow with the number of requests.
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
