import {
	createMachine, interpret, state, transition, type Machine, type Service,
} from 'robot3';

/** Next state by state and event; a state without events is final. */
export type TransitionTable<State extends string, Event extends string> = Readonly<Record<State, Readonly<Partial<Record<Event, State>>>>>;

/** A robot3 machine built from a transition table; events without a transition leave the state as it is. */
export class Lifecycle<State extends string, Event extends string> {
	readonly #service: Service<Machine>;

	constructor(private readonly table: TransitionTable<State, Event>, initial: State) {
		this.#service = interpret(getMachine(table, initial), handleChange);
	}

	get current(): State {
		return this.#service.machine.current as State;
	}

	/** True when the present state has no outgoing transition. */
	get isFinal(): boolean {
		return Object.keys(this.table[this.current]).length === 0;
	}

	/** Applies an event; returns whether it caused a transition. */
	handle(event: Event): boolean {
		if (!(event in this.table[this.current])) {
			return false;
		}

		this.#service.send(event as never);
		return true;
	}
}

/** The library calls it after each transition; the caller reads the state itself. */
const handleChange = () => undefined;

const machines = new WeakMap<object, Map<string, Machine>>();

/** A machine is immutable, so all lifecycles of one table share it. */
const getMachine = (table: TransitionTable<string, string>, initial: string): Machine => {
	const byInitial = machines.get(table) ?? new Map<string, Machine>();
	machines.set(table, byInitial);
	const machine = byInitial.get(initial) ?? createMachine(initial, buildStates(table)) as unknown as Machine;
	byInitial.set(initial, machine);
	return machine;
};

const buildStates = (table: TransitionTable<string, string>) => {
	const entries = Object.entries(table).map(([name, events]) => {
		const transitions = Object.entries(events).map(([event, next]) => transition(event, next!));
		return [name, state(...transitions)] as const;
	});
	return Object.fromEntries(entries);
};
