import type {DecisionLog} from '../logging/decision-log.js';

/** Shortest time between two lines of one reason, in ms. */
const lineIntervalMs = 1000;

/** Logs refusals of which a crowd causes many: at most one line a second for each reason, which counts those left out. */
export class RefusalLog {
	readonly #reasons = new Map<string, {loggedAt: number; omitted: number}>();

	constructor(private readonly log: DecisionLog, private readonly now: () => number) {}

	/** Writes a line unless one of the same event and reason was written within the last second. */
	write(event: string, reason: string, requestId: string | undefined, fields: Record<string, unknown>): void {
		const key = `${event} ${reason}`;
		const state = this.#reasons.get(key);
		if (state !== undefined && this.now() - state.loggedAt < lineIntervalMs) {
			state.omitted++;
			return;
		}

		this.#reasons.set(key, {loggedAt: this.now(), omitted: 0});
		this.log.writeRequest(event, requestId, {reason, ...fields, ...(state !== undefined && state.omitted > 0 && {omitted: state.omitted})});
	}
}
