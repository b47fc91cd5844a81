import type {Server, ServerResponse} from 'node:http';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {createBoundedServer} from '../listeners/bounded-server.js';

/** Bucket bounds of the latency histograms in seconds, from an answer by the entry itself to the longest deadline. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 15];
/** Bucket bounds of the age of load figures in seconds, up to the age at which they no longer count. */
const loadAgeBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 1.5];
/** Bucket bounds of the time in a queue in seconds, from a run of the queue to the longest deadline. */
const waitingBuckets = [0.002, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
const msPerSecond = 1000;

/** Counters and latency histograms of a relay process. */
export class RelayMetrics {
	readonly registry = new Registry();
	readonly #answers = new Counter({
		name: 'relay_answers_total', help: 'Final answers by route and reason', labelNames: ['route', 'reason'], registers: [this.registry],
	});

	readonly #attempts = new Counter({
		name: 'relay_attempts_total', help: 'Attempts on backend servers by service and outcome', labelNames: ['service', 'outcome'], registers: [this.registry],
	});

	readonly #retries = new Counter({
		name: 'relay_retries_total', help: 'Retries by service and by whether the retry budget allowed them', labelNames: ['service', 'isWithinBudget'], registers: [this.registry],
	});

	readonly #events = new Counter({
		name: 'relay_events_total', help: 'Changes of state by event', labelNames: ['event'], registers: [this.registry],
	});

	readonly #refusedCallers = new Counter({
		name: 'relay_refused_callers_total', help: 'Callers refused or closed because of limits on what they send, by reason', labelNames: ['reason'], registers: [this.registry],
	});

	readonly #firstByte = new Histogram({
		name: 'relay_first_byte_seconds', help: 'Time from the arrival of a request to the first byte of its answer', labelNames: ['route'],
		buckets: latencyBuckets, registers: [this.registry],
	});

	readonly #duration = new Histogram({
		name: 'relay_duration_seconds', help: 'Time from the arrival of a request to the end of its answer', labelNames: ['route'],
		buckets: latencyBuckets, registers: [this.registry],
	});

	readonly #collisions = new Counter({
		name: 'relay_collisions_total', help: 'Requests that a backend server rejected as full while another one had room by the known load, by service',
		labelNames: ['service'], registers: [this.registry],
	});

	readonly #loadAge = new Histogram({
		name: 'relay_load_age_seconds', help: 'Age of the oldest load figure of another failure domain for a chosen backend server, by service', labelNames: ['service'],
		buckets: loadAgeBuckets, registers: [this.registry],
	});

	readonly #waited = new Histogram({
		name: 'relay_waited_seconds', help: 'Time for which a request waited in the queue of its service', labelNames: ['service', 'urgency'],
		buckets: waitingBuckets, registers: [this.registry],
	});

	readonly #waitingRefusals = new Counter({
		name: 'relay_waiting_refusals_total', help: 'Requests that were refused in the queue of their service, by reason', labelNames: ['service', 'urgency', 'reason'], registers: [this.registry],
	});

	/** Publishes a value that is read each time the metrics are fetched; the name gets the prefix `relay_`. */
	addGauge(name: string, read: () => number): void {
		const gauge: Gauge = new Gauge({
			name: `relay_${name}`, help: `Present value of ${name.replaceAll('_', ' ')}`, registers: [this.registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	/** Publishes values with labels that are read each time the metrics are fetched; the name gets the prefix `relay_`. */
	addLabelledGauge<Label extends string>(name: string, labelNames: readonly Label[], read: () => Array<{labels: Record<Label, string>; value: number}>): void {
		const gauge: Gauge<Label> = new Gauge<Label>({
			name: `relay_${name}`, help: `Present values of ${name.replaceAll('_', ' ')}`, labelNames, registers: [this.registry],
			collect() {
				gauge.reset();
				for (const {labels, value} of read()) {
					gauge.set(labels, value);
				}
			},
		});
	}

	countAnswer(route: string, reason: string): void {
		this.#answers.inc({route, reason});
	}

	countAttempt(service: string, outcome: string): void {
		this.#attempts.inc({service, outcome});
	}

	/** Counts a retry that drew on the retry budget, or that the budget did not allow. */
	countRetry(service: string, isWithinBudget: boolean): void {
		this.#retries.inc({service, isWithinBudget: String(isWithinBudget)});
	}

	countEvent(event: string): void {
		this.#events.inc({event});
	}

	/** Counts a choice that a backend server rejected while another one had room. */
	countCollision(service: string): void {
		this.#collisions.inc({service});
	}

	/** Records the age of a load figure that a choice was based on. */
	recordLoadAge(service: string, ageMs: number): void {
		this.#loadAge.observe({service}, ageMs / msPerSecond);
	}

	recordWaiting(service: string, urgency: number, waitedMs: number): void {
		this.#waited.observe({service, urgency: String(urgency)}, waitedMs / msPerSecond);
	}

	countWaitingRefusal(service: string, urgency: number, reason: string): void {
		this.#waitingRefusals.inc({service, urgency: String(urgency), reason});
	}

	/** Counts a caller that was refused, or whose connection was closed, because of a limit. */
	countRefusedCaller(reason: string): void {
		this.#refusedCallers.inc({reason});
	}

	recordFirstByte(route: string, durationMs: number): void {
		this.#firstByte.observe({route}, durationMs / msPerSecond);
	}

	recordDuration(route: string, durationMs: number): void {
		this.#duration.observe({route}, durationMs / msPerSecond);
	}
}

/** Starts an HTTP server that serves the metrics as text at one path. */
export const serveMetrics = (metrics: RelayMetrics, options: {host: string; port: number; path: string}): Server => {
	const server = createBoundedServer((request, response) => {
		if (request.url?.split('?')[0] === options.path) {
			void sendMetrics(metrics, response);
		} else {
			response.writeHead(404).end();
		}
	});
	server.listen(options.port, options.host);
	return server;
};

const sendMetrics = async ({registry}: RelayMetrics, response: ServerResponse): Promise<void> => {
	const text = await registry.metrics();
	response.writeHead(200, {'content-type': registry.contentType}).end(text);
};
