import {createHash, timingSafeEqual} from 'node:crypto';
import type {ProcessSettings} from '@knapweedrack/protocol';

/** Secrets with which entries authenticate to each other; `update` replaces them without a restart. */
export class PeerSecrets {
	#current: string;
	#accepted: Uint8Array[];

	constructor(secrets: ProcessSettings['peerSecrets']) {
		this.#current = secrets.current;
		this.#accepted = listDigests(secrets);
	}

	/** Secret presented to other entries. */
	get current(): string {
		return this.#current;
	}

	/** Replaces the secrets; connections that were opened with a removed secret are refused from their next call on. */
	update(secrets: ProcessSettings['peerSecrets']): void {
		this.#current = secrets.current;
		this.#accepted = listDigests(secrets);
	}

	/** Compares with all accepted secrets; the time taken depends neither on the secret's content nor on its length. */
	isAccepted(secret: string | undefined): boolean {
		const digest = hashSecret(secret ?? '');
		let isAccepted = false;
		for (const accepted of this.#accepted) {
			isAccepted = timingSafeEqual(digest, accepted) || isAccepted;
		}

		return isAccepted;
	}
}

const hashSecret = (secret: string): Uint8Array => createHash('sha256').update(secret).digest();

const listDigests = ({current, accepted}: ProcessSettings['peerSecrets']): Uint8Array[] =>
	[...new Set([current, ...accepted])].map(secret => hashSecret(secret));
