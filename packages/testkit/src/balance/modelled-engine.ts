import {computeStepMs, type EngineProfile} from '@knapweedrack/core';
import type {VirtualClock} from '../simulation/virtual-clock.js';

/** Work of one request on an engine; a helper part takes no slot and ends with its prefill. */
export type EngineTask = {
	prefillTokens: number;
	prefillMs: number;
	contextTokens: number;
	/** Tokens still to decode; 0 for a helper part. */
	outputTokens: number;
	isHelperPart: boolean;
	/** Called at the end of the prefill, or of the part. */
	notifyPrefilled: () => void;
	/** Called at the end of the answer. */
	notifyEnded: () => void;
};

/**
 * Models an engine that runs passes: each decodes some steps for all streams and prefills at most one chunk per step, newest helper
 * part first. Much simpler than `EngineModel`, since only slots, prefill order and pauses matter for the spread of load.
 */
export class ModelledEngine {
	/** Factor by which all passes are longer than the profile says. */
	slowness = 1;
	/** Passes by duration above the given pause target, weighted by their streams. */
	latePauses = 0;
	readonly #waiting: EngineTask[] = [];
	readonly #decoding = new Set<EngineTask>();
	#isRunning = false;

	constructor(
		private readonly profile: EngineProfile,
		private readonly clock: VirtualClock,
		private readonly pauseTargetMs: number,
	) {}

	/** Requests that hold a slot. */
	get requests(): number {
		return this.#decoding.size + this.#waiting.filter(({isHelperPart}) => !isHelperPart).length;
	}

	/** Accepts work; false when no slot is free. */
	accept(task: EngineTask): boolean {
		if (!task.isHelperPart && this.requests >= this.profile.slots) {
			return false;
		}

		if (task.isHelperPart) {
			this.#waiting.unshift(task);
		} else {
			this.#waiting.push(task);
		}

		if (!this.#isRunning) {
			this.#runPass();
		}

		return true;
	}

	/** Moves a request whose prompt is complete to the streams. */
	startDecoding(task: EngineTask): void {
		this.#decoding.add(task);
		if (!this.#isRunning) {
			this.#runPass();
		}
	}

	#runPass(): void {
		const {profile, clock} = this;
		this.#isRunning = this.#waiting.length > 0 || this.#decoding.size > 0;
		if (!this.#isRunning) {
			return;
		}

		const decoding = [...this.#decoding];
		const context = decoding.reduce((sum, {contextTokens}) => sum + contextTokens, 0);
		const decodeMs = decoding.length === 0 ? 0 : profile.stepsPerPass * computeStepMs(profile, decoding.length, context);
		const {prefillMs, prefilled} = this.#prefill(profile.chunkTokens * profile.stepsPerPass);
		const passMs = (decodeMs + prefillMs) * this.slowness;
		this.latePauses += passMs > this.pauseTargetMs ? decoding.length : 0;
		clock.scheduleIn(passMs, () => {
			for (const task of decoding) {
				task.outputTokens -= profile.stepsPerPass;
				if (task.outputTokens <= 0) {
					this.#decoding.delete(task);
					task.notifyEnded();
				}
			}

			for (const task of prefilled) {
				task.notifyPrefilled();
			}

			this.#runPass();
		});
	}

	/** Takes prefill work for one pass from the waiting tasks. */
	#prefill(tokens: number): {prefillMs: number; prefilled: EngineTask[]} {
		const prefilled: EngineTask[] = [];
		let left = tokens;
		let prefillMs = 0;
		while (left > 0 && this.#waiting.length > 0) {
			const task = this.#waiting[0]!;
			const share = Math.min(1, left / task.prefillTokens);
			prefillMs += task.prefillMs * share;
			left -= task.prefillTokens * share;
			task.prefillMs *= 1 - share;
			task.prefillTokens *= 1 - share;
			if (share === 1) {
				this.#waiting.shift();
				prefilled.push(task);
			}
		}

		return {prefillMs, prefilled};
	}
}
