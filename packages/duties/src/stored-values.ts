/** Type guards for values that were read from the state store. Stored values are always checked before use. */

/** Whether the value is a JSON object. */
export const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Whether the value is a safe integer of at least 0. */
export const isNonNegativeInteger = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/** Whether the value is a non-empty string. */
export const isNonEmptyString = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0;

/** Whether the value is an array of non-empty strings. */
export const isNonEmptyStringArray = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every(isNonEmptyString);
