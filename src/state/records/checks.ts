/** Type guards for stored values that several record modules share. */

/** Whether a value is a safe integer of at least 1. */
export const isPositiveInteger = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) > 0;

/** Whether a value is an array of strings. */
export const isStringArray = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every((element) => typeof element === 'string');
