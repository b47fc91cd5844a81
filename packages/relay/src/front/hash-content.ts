import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** What identifies the content of a request; a request that is sent again has the same content and another id. */
export type RequestContent = {
	/** Undefined on routes that need no credential. */
	workspace: string | undefined;
	method: string;
	/** Path with query. */
	path: string;
	body: Buffer | undefined;
};

/** Length of the fingerprint of a whole request in hexadecimal digits. */
const fingerprintLength = 32;
/** Start of the fingerprint of a part, which tells it from that of a whole request. */
const partPrefix = 'part-';
/** Length of the digest of a part in hexadecimal digits. */
const partDigestLength = 16;

/** Computes the fingerprint of a request's content: the start of a SHA-256 digest, in hexadecimal. */
export const hashContent = ({workspace = '', method, path, body}: RequestContent): string => {
	const hash = createHash('sha256').update(`${workspace}\0${method}\0${path}\0`);
	if (body !== undefined) {
		hash.update(body);
	}

	return hash.digest('hex').slice(0, fingerprintLength);
};

/** Computes the fingerprint of a part of a prompt for a model; it does not depend on the rest of the request or its caller. */
export const hashPart = (model: string | undefined, partId: string): string =>
	partPrefix + createHash('sha256').update(`${model ?? ''}\0${partId}`).digest('hex').slice(0, partDigestLength);
