/** Errors of the state store client. */

/** Thrown when the state store responded but did not serve the call. */
export class StoreError extends Error {
  override readonly name: string = 'StoreError';

  /** `status` is the HTTP status of the response, 0 if it is malformed, or 503 if the replica is not loaded. */
  constructor(
    readonly status: number,
    message = `state store responded with HTTP status ${status}`,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Thrown when the state store no longer has the history of changes after the revision of a watch. */
export class CompactedRevisionError extends StoreError {
  /** The HTTP status with which the state store reports a compacted revision. */
  static readonly STATUS = 410;

  override readonly name = 'CompactedRevisionError';

  constructor() {
    super(CompactedRevisionError.STATUS, 'state store has compacted the changes after the watched revision');
  }
}

/** Thrown when a field of a response of the state store is missing or malformed. */
export class MalformedResponseError extends StoreError {
  override readonly name = 'MalformedResponseError';

  constructor(readonly field: string) {
    super(0, `field "${field}" is missing or malformed in a response of the state store`);
  }
}

/** Thrown when a replica can't be read because it has not loaded the state yet, or must load it again. */
export class ReplicaNotLoadedError extends StoreError {
  override readonly name = 'ReplicaNotLoadedError';

  constructor() {
    super(503, 'replica of the state store is not loaded');
  }
}

/** Returns the error for a response with a status that means that the call was not served. */
export function storeErrorForStatus(status: number): StoreError {
  return status === CompactedRevisionError.STATUS ? new CompactedRevisionError() : new StoreError(status);
}
