import {
	memoryKinds, type MemoryAccount, type MemoryHold, type MemoryKind,
} from './memory-account.js';
import type {MemoryLimits} from './memory-limits.js';

/** Bytes held of one kind: in total, and by workspace; unknown callers share the key undefined. */
type KindUse = {bytes: number; byWorkspace: Map<string | undefined, number>};

/** Accounts for the memory that the process holds for callers, backend servers, peers and the store. */
export class MemoryLedger {
	readonly #uses = new Map<MemoryKind, KindUse>(Object.values(memoryKinds).map(kind => [kind, {bytes: 0, byWorkspace: new Map()}]));
	#bytes = 0;

	constructor(readonly limits: MemoryLimits) {}

	/** Opens a hold of 0 bytes. */
	open(account: MemoryAccount): MemoryHold {
		let held = 0;
		let isReleased = false;
		const remove = (bytes: number): void => {
			const removed = Math.min(Math.max(0, bytes), held);
			held -= removed;
			this.#add(account, -removed);
		};

		return {
			get bytes() {
				return held;
			},
			tryAdd: bytes => {
				if (isReleased || !(bytes >= 0) || !this.#hasRoom(account, bytes)) {
					return false;
				}

				held += bytes;
				this.#add(account, bytes);
				return true;
			},
			remove,
			release() {
				remove(held);
				isReleased = true;
			},
		};
	}

	/** Bytes held of one kind, or of all. */
	getHeldBytes(kind?: MemoryKind): number {
		return kind === undefined ? this.#bytes : this.#uses.get(kind)!.bytes;
	}

	/** Bytes held of one account. */
	getAccountBytes({kind, workspace}: MemoryAccount): number {
		return this.#uses.get(kind)!.byWorkspace.get(workspace) ?? 0;
	}

	#hasRoom({kind, workspace}: MemoryAccount, bytes: number): boolean {
		const {budgetBytes, kindBytes, workspaceBytes} = this.limits;
		const use = this.#uses.get(kind)!;
		return this.#bytes + bytes <= budgetBytes
			&& use.bytes + bytes <= kindBytes[kind]
			&& (use.byWorkspace.get(workspace) ?? 0) + bytes <= workspaceBytes[kind];
	}

	#add({kind, workspace}: MemoryAccount, bytes: number): void {
		if (bytes === 0) {
			return;
		}

		const use = this.#uses.get(kind)!;
		const workspaceBytes = (use.byWorkspace.get(workspace) ?? 0) + bytes;
		this.#bytes += bytes;
		use.bytes += bytes;
		if (workspaceBytes === 0) {
			use.byWorkspace.delete(workspace);
		} else {
			use.byWorkspace.set(workspace, workspaceBytes);
		}
	}
}
