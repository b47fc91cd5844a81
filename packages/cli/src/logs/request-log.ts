import {z} from 'zod';

/** How long before the first line of a request lines about its entries and servers are selected, in ms; longer than the time for which an entry uses a report from a peer. */
const contextMs = 10_000;

/** A fingerprint alone, or with what a line says of it. */
const fingerprintSchema = z.union([z.string(), z.looseObject({content: z.string()})]);

const lineSchema = z.looseObject({
	/** Wall-clock time, in ms since the Unix epoch. */
	time: z.number(),
	event: z.string(),
	entry: z.string().optional(),
	requestId: z.string().optional(),
	server: z.string().optional(),
	/** Fingerprint of a request's content. */
	content: z.string().optional(),
	/** Fingerprints of the shared parts of its prompt, or of those that a crash counts for. */
	parts: z.array(fingerprintSchema).optional(),
	/** Records that another entry has sent. */
	records: z.array(fingerprintSchema).optional(),
});

/** One event as an entry logged it. */
export type LogLine = z.infer<typeof lineSchema>;

/** Log lines that explain one request. */
export type RequestLog = {
	/** Lines of the request, in order of time. */
	lines: LogLine[];
	/**
	 * Lines without a request id: about the entries and backend servers of the request, shortly before and during it, and about its
	 * content, at any time before its end.
	 */
	surroundings: LogLine[];
};

/** Parses log lines. Text before the JSON object, as log collectors add it, and lines without one are skipped. */
export const parseLogLines = (text: string): {lines: LogLine[]; unreadable: number} => {
	const lines: LogLine[] = [];
	let unreadable = 0;
	for (const row of text.split('\n')) {
		const start = row.indexOf('{');
		if (start === -1) {
			continue;
		}

		const parsed = lineSchema.safeParse(parseJson(row.slice(start)));
		if (parsed.success) {
			lines.push(parsed.data);
		} else {
			unreadable++;
		}
	}

	return {lines, unreadable};
};

/** Selects the lines that explain a request; `all` may come from any number of entries. */
export const selectRequestLog = (all: readonly LogLine[], requestId: string): RequestLog => {
	const lines = sortByTime(all.filter(line => line.requestId === requestId));
	const [first, last] = [lines.at(0), lines.at(-1)];
	if (first === undefined || last === undefined) {
		return {lines: [], surroundings: []};
	}

	const entries = new Set(lines.map(({entry}) => entry));
	const servers = new Set(lines.map(({server}) => server));
	const fingerprints = new Set(lines.flatMap(line => listFingerprints(line)));
	const surroundings = all.filter(line => {
		const {time, requestId: id, entry, server} = line;
		if (id !== undefined || time > last.time) {
			return false;
		}

		const own = listFingerprints(line);
		return own.length === 0
			? time >= first.time - contextMs && (server === undefined ? entries.has(entry) : servers.has(server))
			: own.some(fingerprint => fingerprints.has(fingerprint));
	});
	return {lines, surroundings: sortByTime(surroundings)};
};

/** Renders the lines in order of time, with seconds relative to the first line of the request. */
export const renderRequestLog = ({lines, surroundings}: RequestLog): string => {
	const startedAt = lines[0]!.time;
	const rows = sortByTime([...lines, ...surroundings]).map(line => {
		const {time, event, entry, level, requestId, ...otherFields} = line;
		const mark = requestId === undefined ? ' ' : '*';
		const fields = Object.entries(otherFields).map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join('');
		return `${mark} ${((time - startedAt) / 1000).toFixed(3).padStart(8)} ${entry ?? '?'} ${event}${fields}`;
	});
	return ['lines with * are about the request, the others about its entries and backend servers', ...rows].join('\n');
};

const listFingerprints = ({content, parts = [], records = []}: LogLine): string[] => [
	...(content === undefined ? [] : [content]),
	...[...parts, ...records].map(item => typeof item === 'string' ? item : item.content),
];

const sortByTime = (lines: readonly LogLine[]): LogLine[] => lines.toSorted((a, b) => a.time - b.time);

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
