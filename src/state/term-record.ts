/** The stored form of the number of the latest leadership term, under `TERM_KEY`. */
import { isJsonObject } from '../wire/json.js';

/** Encodes the number of a term. */
export function encodeTerm(term: number): unknown {
  return { term };
}

/**
 * Decodes the number of the latest term. Returns 0 if the value is not an object, as before the first term, and NaN if
 * the value holds no number.
 */
export function decodeTerm(value: unknown): number {
  return isJsonObject(value) ? Number(value.term) : 0;
}
