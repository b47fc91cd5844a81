import {setTimeout as wait} from 'node:timers/promises';
import {orderKinds, type EngineOrder} from '@knapweedrack/protocol';
import {fetchTransfer} from './engine-links.js';
import type {EngineRuntime} from './engine-runtime.js';
import {applyOrder, type EngineAssignment} from './engine-assignment.js';

const weightRetryMs = 200;

/** Runs the orders to one engine and checks their fencing numbers; the assignment and the highest number survive crashes. */
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

	/** Highest accepted fencing number; undefined when the engine does not check fencing numbers. */
	get fencingNumber(): number | undefined {
		return this.#runtime.options.checksFencing ? this.#fencingNumber : undefined;
	}

	/** Records a fencing number; false when the engine checks the numbers and has accepted a higher one. */
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

	/** Runs an accepted order; a restart of the engine during the load drops the order. */
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

	/** Waits until the weights are loaded; retries the transfer while the weight store refuses it or does not answer. */
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
