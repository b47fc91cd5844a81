/** Binary heap ordered by a comparison function; the smallest item comes first. */
export class BinaryHeap<Item> {
	readonly #items: Item[] = [];
	readonly #compare: (left: Item, right: Item) => number;

	constructor(compare: (left: Item, right: Item) => number) {
		this.#compare = compare;
	}

	/** Number of items. */
	get size(): number {
		return this.#items.length;
	}

	/** Returns the smallest item without removing it; `undefined` when the heap is empty. */
	getFirst(): Item | undefined {
		return this.#items[0];
	}

	/** Copies the items, smallest first. */
	toSorted(): Item[] {
		return this.#items.toSorted(this.#compare);
	}

	/** Inserts an item in logarithmic time. */
	add(item: Item): void {
		this.#items.push(item);
		this.#updateUp(this.#items.length - 1);
	}

	/** Removes and returns the smallest item in logarithmic time; `undefined` when the heap is empty. */
	removeFirst(): Item | undefined {
		const first = this.#items[0];
		const last = this.#items.pop();
		if (last !== undefined && this.#items.length > 0) {
			this.#items[0] = last;
			this.#updateDown(0);
		}

		return first;
	}

	/** Removes an item by identity in linear time; false when it is absent. */
	remove(item: Item): boolean {
		const index = this.#items.indexOf(item);
		if (index === -1) {
			return false;
		}

		const last = this.#items.pop()!;
		if (index < this.#items.length) {
			this.#items[index] = last;
			this.#updateUp(index);
			this.#updateDown(index);
		}

		return true;
	}

	/** Moves an item towards the root until its parent is not larger. */
	#updateUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (this.#compare(this.#items[parent]!, this.#items[index]!) <= 0) {
				return;
			}

			this.#swap(parent, index);
			index = parent;
		}
	}

	/** Moves an item away from the root until no child is smaller. */
	#updateDown(start: number): void {
		let index = start;
		for (;;) {
			const smallest = this.#findSmallest(index);
			if (smallest === index) {
				return;
			}

			this.#swap(smallest, index);
			index = smallest;
		}
	}

	#findSmallest(index: number): number {
		let smallest = index;
		for (const child of [(2 * index) + 1, (2 * index) + 2]) {
			if (child < this.#items.length && this.#compare(this.#items[child]!, this.#items[smallest]!) < 0) {
				smallest = child;
			}
		}

		return smallest;
	}

	#swap(left: number, right: number): void {
		const item = this.#items[left]!;
		this.#items[left] = this.#items[right]!;
		this.#items[right] = item;
	}
}
