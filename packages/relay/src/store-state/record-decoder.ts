/**
 * Creates a decoder of records that decodes each value once: a list has the same values again for all records that have not changed.
 * A value belongs to one record, so the id needs no check.
 */
export const createRecordDecoder = <Decoded>(decode: (id: string, value: unknown) => Decoded | undefined): (id: string, value: unknown) => Decoded | undefined => {
	const decoded = new WeakMap<WeakKey, {record: Decoded | undefined}>();
	return (id, value) => {
		if (typeof value !== 'object' || value === null) {
			return decode(id, value);
		}

		const known = decoded.get(value) ?? {record: decode(id, value)};
		decoded.set(value, known);
		return known.record;
	};
};
