import {setTimeout as wait} from 'node:timers/promises';
import {orderKinds, type EngineOrder} from '@knapweedrack/protocol';
import {fetchTransfer} from './engine-links.js';
import type {EngineRuntime} from './engine-runtime.js';
import {applyOrder, type EngineAssignment} from './order-book.js';

const weightRetryMs = 200;

/** Orders to one engine and the fencing numbers it has accepted; both are kept over crashes. */
export class EngineOrders {
	readonly #runtime: EngineRuntime;
	#fencingNumber = 0;
	#assignment: EngineAssignment;

	constructor(runtime: EngineRuntime) {
		this.#runtime = runtime;
		const {model, modelVersion} = runtime.options;
		this.#assignment = {
			model, version: modelVersion, adapters: [], role: 'both', lastOrderId: '',
		};
	}

	get assignment(): EngineAssignment {
		return this.#assignment;
	}

	/** Highest accepted fencing number; undefined when the engine does not check. */
	get fencingNumber(): number | undefined {
		return this.#runtime.options.checksFencing ? this.#fencingNumber : undefined;
	}

	/** False when the engine checks fencing numbers and this one is lower than an accepted one. */
	tryAcceptFencing(fencingNumber: number | undefined): boolean {
		if (!this.#runtime.options.checksFencing || fencingNumber === undefined) {
			return true;
		}

		if (fencingNumber < this.#fencingNumber) {
			return false;
		}

		this.#fencingNumber = fencingNumber;
		return true;
	}

	/** Runs an accepted order; it is dropped when the engine restarts before it is complete. */
	async run(order: EngineOrder): Promise<void> {
		const {bootId} = this.#runtime;
		if (order.kind !== orderKinds.setRole) {
			await this.#waitForWeights(order);
		}

		if (bootId !== this.#runtime.bootId) {
			return;
		}

		this.#assignment = applyOrder(this.#assignment, order);
		if (order.kind === orderKinds.loadModel) {
			this.#runtime.reset();
		}
	}

	/** Waits for a transfer from the weight store; repeats while its rate is in use. */
	async #waitForWeights(order: EngineOrder): Promise<void> {
		const {platform, loadMs, serverId} = this.#runtime.options;
		const {bootId} = this.#runtime;
		let durationMs = platform === '' ? loadMs : undefined;
		while (durationMs === undefined && bootId === this.#runtime.bootId && !this.#runtime.isUnavailable) {
			durationMs = await fetchTransfer(platform, order, serverId);
			if (durationMs === undefined) {
				await wait(weightRetryMs, undefined, {ref: false});
			}
		}

		await wait(durationMs ?? 0, undefined, {ref: false});
	}
}
