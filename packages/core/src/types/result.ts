/** Outcome of an operation that can fail in an expected way. */
export type Result<Value, Failure> = {ok: true; value: Value} | {ok: false; error: Failure};

/** Builds a successful result. */
export const createOk = <Value>(value: Value): {ok: true; value: Value} => ({ok: true, value});

/** Builds a failed result. */
export const createError = <Failure>(error: Failure): {ok: false; error: Failure} => ({ok: false, error});
