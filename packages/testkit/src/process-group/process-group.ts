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
/** JSON line that a process prints on standard output when it is ready; which addresses are set depends on the program. */
export type ReadyLine = z.infer<typeof readyLineSchema>;

/** Module to run as a child process, with its arguments and environment. */
export type ProcessSpecification = {
	/** Id within the group; it can be reused once the process has ended. */
	id: string;
	/** Module to run, such as `@knapweedrack/testkit/engine-main`, or a file URL. */
	module: string;
	args?: readonly string[] | undefined;
	env?: Readonly<Record<string, string>> | undefined;
	/** Time to wait for the ready line in ms. */
	readyTimeoutMs?: number | undefined;
};

/** A child process that has printed its ready line. */
export type ManagedProcess = {
	id: string;
	pid: number;
	ready: ReadyLine;
	/** Resolves when the process has ended, with its exit code or the signal that ended it. */
	exit: Promise<ProcessExit>;
	/** Returns the last lines of standard error, for the messages of failed tests. */
	getErrorOutput: () => string;
};

/** Exit code of a process, or the signal that ended it; both are null when the process could not be spawned. */
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

/** Starts child processes and ends them with the group or with the parent process. */
export class ProcessGroup {
	readonly #children = new Map<string, RunningChild>();
	#isClosed = false;
	#removeParentHandlers: (() => void) | undefined;

	get ids(): string[] {
		return [...this.#children.keys()];
	}

	/** Starts a process and waits for its ready line; a process that is not ready in time is killed with SIGKILL. */
	async start(specification: ProcessSpecification): Promise<ManagedProcess> {
		if (this.#isClosed || this.#children.has(specification.id)) {
			throw new VError('process %s cannot be started: the group is closed or the id is in use', specification.id);
		}

		const running = this.#startChild(specification);
		try {
			const ready = await waitForReady(running, specification.readyTimeoutMs ?? defaultReadyTimeoutMs);
			return {
				id: specification.id,
				pid: running.child.pid!,
				ready,
				exit: running.exit,
				getErrorOutput: () => running.errorLines.join('\n'),
			};
		} catch (error) {
			running.child.kill('SIGKILL');
			await running.exit;
			throw new VError(error as Error, 'process %s did not become ready; standard error: %s', specification.id, running.errorLines.join('\n'));
		}
	}

	/** Ends a process at once with SIGKILL. */
	async close(id: string): Promise<ProcessExit> {
		const running = this.#get(id);
		running.child.kill('SIGKILL');
		return running.exit;
	}

	/** Stops a process with SIGTERM, and with SIGKILL if it still runs after the timeout in ms. */
	async stop(id: string, timeoutMs: number = defaultStopTimeoutMs): Promise<ProcessExit> {
		const running = this.#get(id);
		const timer = setTimeout(() => {
			log('process %s did not stop within %d ms and is killed', id, timeoutMs);
			running.child.kill('SIGKILL');
		}, timeoutMs);
		running.child.kill('SIGTERM');
		// A process stopped by SIGSTOP handles SIGTERM only after it continues.
		running.child.kill('SIGCONT');
		const exit = await running.exit;
		clearTimeout(timer);
		return exit;
	}

	/** Freezes a process with SIGSTOP or continues it with SIGCONT. */
	setFrozen(id: string, isFrozen: boolean): void {
		this.#get(id).child.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
	}

	/** Kills all processes, waits until they have ended and refuses further starts. */
	async closeAll(): Promise<void> {
		this.#isClosed = true;
		const runningChildren = [...this.#children.values()];
		for (const {child} of runningChildren) {
			child.kill('SIGKILL');
		}

		await Promise.all(runningChildren.map(async ({exit}) => exit));
	}

	#get(id: string): RunningChild {
		const running = this.#children.get(id);
		if (!running) {
			throw new VError('the process group has no running process %s', id);
		}

		return running;
	}

	#startChild({id, module, args = [], env = {}}: ProcessSpecification): RunningChild {
		const path = fileURLToPath(import.meta.resolve(module));
		const child = spawn(process.execPath, [...process.execArgv, `--import=${import.meta.resolve(endWithParentModule)}`, path, ...args], {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {...process.env, ...env},
		});
		this.#removeParentHandlers ??= addParentHandlers(() => {
			for (const running of this.#children.values()) {
				running.child.kill('SIGKILL');
			}
		});
		const running: RunningChild = {child, exit: this.#waitForExit(id, child), errorLines: []};
		this.#children.set(id, running);
		createInterface({input: child.stderr}).on('line', line => {
			log('process %s, standard error: %s', id, line);
			running.errorLines.push(line);
			running.errorLines.splice(0, running.errorLines.length - errorLineLimit);
		});
		return running;
	}

	async #waitForExit(id: string, child: ChildProcess): Promise<ProcessExit> {
		const exit = await readExit(child);
		log('process %s ended: %o', id, exit);
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
		// `once` rejects on the `error` event, which the child emits when it cannot be spawned.
		log('process could not be spawned: %O', error);
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
		reject(new VError('the process ended with code %s, signal %s before its ready line', code, signal));
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
