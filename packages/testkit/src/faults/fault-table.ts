/** Limits of a fault. The fault ends after `count` uses or after `durationMs`; without limits it lasts until it is removed. */
export type FaultLimits = {
	/** Uses left; undefined for no limit. */
	count?: number | undefined;
	/** Time in ms until the fault ends; undefined for no limit. */
	durationMs?: number | undefined;
};

type ActiveFault<Fault> = {
	fault: Fault;
	usesLeft: number;
	endsAt: number;
};

/** Active faults of one stand-in; callers pass in the time in ms. */
export class FaultTable<Fault extends {kind: string} & FaultLimits> {
	#active: Array<ActiveFault<Fault>> = [];

	add(fault: Fault, now: number): void {
		this.#active.push({
			fault,
			usesLeft: fault.count ?? Number.POSITIVE_INFINITY,
			endsAt: now + (fault.durationMs ?? Number.POSITIVE_INFINITY),
		});
	}

	/** Removes all faults, or those of one kind. */
	remove(kind?: string): void {
		this.#active = kind === undefined ? [] : this.#active.filter(active => active.fault.kind !== kind);
	}

	/** Finds the oldest active fault of a kind that applies, without counting a use. */
	find<Kind extends Fault['kind']>(kind: Kind, now: number, applies: (fault: Extract<Fault, {kind: Kind}>) => boolean = () => true): Extract<Fault, {kind: Kind}> | undefined {
		return this.#find(kind, now, applies)?.fault as Extract<Fault, {kind: Kind}> | undefined;
	}

	has(kind: Fault['kind'], now: number): boolean {
		return this.#find(kind, now, () => true) !== undefined;
	}

	/** Finds the oldest active fault of a kind that applies and counts one use of it. */
	consume<Kind extends Fault['kind']>(kind: Kind, now: number, applies: (fault: Extract<Fault, {kind: Kind}>) => boolean = () => true): Extract<Fault, {kind: Kind}> | undefined {
		const active = this.#find(kind, now, applies);
		if (!active) {
			return undefined;
		}

		active.usesLeft -= 1;
		return active.fault as Extract<Fault, {kind: Kind}>;
	}

	list(now: number): Fault[] {
		this.#removeEnded(now);
		return this.#active.map(active => active.fault);
	}

	#find<Kind extends Fault['kind']>(kind: Kind, now: number, applies: (fault: Extract<Fault, {kind: Kind}>) => boolean): ActiveFault<Fault> | undefined {
		if (this.#active.length === 0) {
			return undefined;
		}

		this.#removeEnded(now);
		return this.#active.find(({fault}) => fault.kind === kind && applies(fault as Extract<Fault, {kind: Kind}>));
	}

	#removeEnded(now: number): void {
		this.#active = this.#active.filter(active => active.usesLeft > 0 && active.endsAt > now);
	}
}
