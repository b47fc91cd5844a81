#!/usr/bin/env node
/**
 * Measures how the cost of the core and of real entry processes grows with the number of entries, backend servers and
 * workspaces. `measure-capacity.ts [FILE]` writes JSON to the file or to standard output.
 */
import {readFile, writeFile} from 'node:fs/promises';
import {cpus, loadavg} from 'node:os';
import process from 'node:process';
import xxhash from 'xxhash-wasm';
import {
	measureConfiguration, measureLimits, measureOwnership, measurePermits, measureRouting, measureSessionRecords, measureSummary,
} from './capacity/core-slopes.js';
import {measureFleet} from './capacity/fleet-slopes.js';

/** Time after which no further fleet is started, in ms; the run then ends within about 2 minutes. */
const lastStartMs = 75_000;
const fleetSizes = [2, 4, 8, 16, 32] as const;
const loadedFleetSize = 4;
/** Most entries in a measured fleet; `CAPACITY_LARGEST_FLEET=0` measures the core only. */
const maxFleetSize = Number(process.env.CAPACITY_LARGEST_FLEET ?? 32);

const startedAt = performance.now();
const {h32} = await xxhash();
const hash = (text: string): number => h32(text);
const loadAverageBefore = loadavg();
const core = {
	ownership: measureOwnership(hash),
	sessionRecords: measureSessionRecords(hash),
	permits: measurePermits(),
	routing: measureRouting(),
	limits: measureLimits(hash),
	configuration: measureConfiguration(),
	summary: measureSummary(),
};
const loadAverageAfterCore = loadavg();
const examples = new URL('../examples/prairie/', import.meta.url);
const [workspaces, plans] = await Promise.all(['workspaces.yaml', 'plans.yaml'].map(async name => readFile(new URL(name, examples), 'utf8')));
const fleets: unknown[] = [];
const notStarted: number[] = [];
for (const size of fleetSizes) {
	if (size > maxFleetSize || performance.now() - startedAt > lastStartMs) {
		notStarted.push(size);
		continue;
	}

	fleets.push(await measureFleet(size, {workspaces: workspaces!, plans: plans!}, size === loadedFleetSize));
}

const report = JSON.stringify({
	cores: cpus().length, loadAverageBefore, loadAverageAfterCore, loadAverageAfter: loadavg(), seconds: Math.round((performance.now() - startedAt) / 1000), core, fleets, notStarted,
}, undefined, '\t');
const file = process.argv[2];
if (file === undefined) {
	console.log(report);
} else {
	await writeFile(file, `${report}\n`);
}

process.exit();
