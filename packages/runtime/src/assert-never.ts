/**
 * Thrown when a switch has no case for a value. Either the value came from outside the program and is not a member of the
 * union type, or a case is missing.
 */
export class UnhandledCaseError extends Error {
  override readonly name = 'UnhandledCaseError';

  /** Creates the error for the value that no case handles. */
  constructor(readonly value: unknown) {
    super(`no case handles the value ${String(value)}`);
  }
}

/** The default case of an exhaustive switch. The compiler rejects the call while a member of the union has no case. */
export function assertNever(value: never): never {
  throw new UnhandledCaseError(value);
}
