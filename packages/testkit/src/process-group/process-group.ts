import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import debug from 'debug';
import VError from 'verror';
import {z} from 'zod';
import {addParentHandlers} from './parent-handlers.js';

const log = debug('knapweedrack:process-group');

const readyLineSchema = z.looseObject({
	ready: z.literal(true),
	address: z.string().optional(),
	callerAddress: z.string().optional(),
	peerAddress: z.string().optional(),
});
/** JSON line that a process prints when it is ready. */
export type ReadyLine = z.infer<typeof readyLineSchema>;

/** What to start. */
export type ProcessSpecification = {
	/** Id within the group; free again once the process has ended. */
	id: string;
	/** Module to run, such as `@knapweedrack/testkit/engine-main`, or a file URL. */
	module: string;
	args?: readonly string[] | undefined;
	env?: Readonly<Record<string, string>> | undefined;
	/** Longest wait for the ready line in ms. */
	readyTimeoutMs?: number | undefined;
};

/** A child process that has printed its ready line. */
export type ManagedProcess = {
	id: string;
	pid: number;
	ready: ReadyLine;
	/** Resolves when the process has ended, with its exit code or the signal that ended it. */
	exit: Promise<ProcessExit>;
	/** Last lines of standard error, for messages of failed tests. */
	getErrorOutput: () => string;
};

/** How a process ended. */
export type ProcessExit = {code: number | null; signal: NodeJS.Signals | null};

type RunningChild = {
	child: ChildProcess;
	exit: Promise<ProcessExit>;
	errorLines: string[];
};

const defaultReadyTimeoutMs = 15_000;
const defaultStopTimeoutMs = 10_000;
const errorLineLimit = 50;
const endWithParentModule = '@knapweedrack/testkit/end-with-parent';

/** Child processes that end with the group and with the parent process. */
export class ProcessGroup {
	readonly #children = new Map<string, RunningChild>();
	#isClosed = false;
	#removeParentHandlers: (() => void) | undefined;

	get ids(): string[] {
		return [...this.#children.keys()];
	}

	/** Starts a process and waits for its ready line; a process that is not ready in time is killed. */
	async start(specification: ProcessSpecification): Promise<ManagedProcess> {
		if (this.#isClosed || this.#children.has(specification.id)) {
			throw new VError('process %s cannot be started: the group is closed or the id is in use', specification.id);
		}

		const entry = this.#startChild(specification);
		try {
			const ready = await waitForReady(entry, specification.readyTimeoutMs ?? defaultReadyTimeoutMs);
			return {
				id: specification.id,
				pid: entry.child.pid!,
				ready,
				exit: entry.exit,
				getErrorOutput: () => entry.errorLines.join('\n'),
			};
		} catch (error) {
			entry.child.kill('SIGKILL');
			await entry.exit;
			throw new VError(error as Error, 'process %s did not become ready; standard error: %s', specification.id, entry.errorLines.join('\n'));
		}
	}

	/** Ends a process at once with SIGKILL. */
	async close(id: string): Promise<ProcessExit> {
		const entry = this.#get(id);
		entry.child.kill('SIGKILL');
		return entry.exit;
	}

	/** Asks a process to stop with SIGTERM and kills it after the timeout in ms. */
	async stop(id: string, timeoutMs: number = defaultStopTimeoutMs): Promise<ProcessExit> {
		const entry = this.#get(id);
		const timer = setTimeout(() => {
			log('%s did not stop within %d ms', id, timeoutMs);
			entry.child.kill('SIGKILL');
		}, timeoutMs);
		entry.child.kill('SIGTERM');
		// A frozen process receives the signal only when it continues.
		entry.child.kill('SIGCONT');
		const exit = await entry.exit;
		clearTimeout(timer);
		return exit;
	}

	/** Freezes a process with SIGSTOP. */
	setFrozen(id: string, isFrozen: boolean): void {
		this.#get(id).child.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
	}

	/** Kills all processes and waits until they have ended. */
	async closeAll(): Promise<void> {
		this.#isClosed = true;
		const entries = [...this.#children.values()];
		for (const {child} of entries) {
			child.kill('SIGKILL');
		}

		await Promise.all(entries.map(async ({exit}) => exit));
	}

	#get(id: string): RunningChild {
		const entry = this.#children.get(id);
		if (!entry) {
			throw new VError('no running process %s', id);
		}

		return entry;
	}

	#startChild({id, module, args = [], env = {}}: ProcessSpecification): RunningChild {
		const path = fileURLToPath(import.meta.resolve(module));
		const child = spawn(process.execPath, [...process.execArgv, `--import=${import.meta.resolve(endWithParentModule)}`, path, ...args], {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {...process.env, ...env},
		});
		this.#removeParentHandlers ??= addParentHandlers(() => {
			for (const entry of this.#children.values()) {
				entry.child.kill('SIGKILL');
			}
		});
		const entry: RunningChild = {child, exit: this.#waitForExit(id, child), errorLines: []};
		this.#children.set(id, entry);
		createInterface({input: child.stderr}).on('line', line => {
			log('%s: %s', id, line);
			entry.errorLines.push(line);
			entry.errorLines.splice(0, entry.errorLines.length - errorLineLimit);
		});
		return entry;
	}

	async #waitForExit(id: string, child: ChildProcess): Promise<ProcessExit> {
		const exit = await readExit(child);
		log('%s ended: %o', id, exit);
		this.#children.delete(id);
		if (this.#children.size === 0) {
			this.#removeParentHandlers?.();
			this.#removeParentHandlers = undefined;
		}

		return exit;
	}
}

const readExit = async (child: ChildProcess): Promise<ProcessExit> => {
	try {
		const [code, signal] = await once(child, 'exit') as [number | null, NodeJS.Signals | null];
		return {code, signal};
	} catch (error) {
		// The process could not be started.
		log('start failed: %O', error);
		return {code: null, signal: null};
	}
};

const waitForReady = async ({child, exit}: RunningChild, timeoutMs: number): Promise<ReadyLine> => new Promise((resolve, reject) => {
	const timer = setTimeout(() => {
		reject(new VError('no ready line within %d ms', timeoutMs));
	}, timeoutMs);
	const lines = createInterface({input: child.stdout!});
	lines.on('line', line => {
		const ready = parseReadyLine(line);
		if (ready) {
			clearTimeout(timer);
			resolve(ready);
		}
	});
	const handleExit = async (): Promise<void> => {
		const {code, signal} = await exit;
		clearTimeout(timer);
		reject(new VError('it ended with code %s, signal %s', code, signal));
	};

	void handleExit();
});

const parseReadyLine = (line: string): ReadyLine | undefined => {
	try {
		return readyLineSchema.safeParse(JSON.parse(line)).data;
	} catch {
		return undefined;
	}
};
