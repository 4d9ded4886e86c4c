/** The encoded size of values, which the state store limits. */
import { formatJson } from '../../wire/json.js';

/** Size of the two brackets of a JSON array. */
const LIST_BYTES = 2;
/** Size of the comma between two elements of a JSON array. */
const SEPARATOR_BYTES = 1;

/** Returns the number of bytes that a value takes in the state store. */
export const measureEncodedBytes = (value: unknown): number => Buffer.byteLength(formatJson(value));

/** Splits a list into parts whose encoded size is at most `maxBytes`. A larger element becomes a part of its own. */
export function splitByEncodedSize(list: readonly string[], maxBytes: number): string[][] {
  const parts: string[][] = [];
  let part: string[] = [];
  let bytes = Infinity;
  for (const text of list) {
    const textBytes = measureEncodedBytes(text) + SEPARATOR_BYTES;
    if (bytes + textBytes > maxBytes) {
      part = [];
      parts.push(part);
      bytes = LIST_BYTES;
    }
    part.push(text);
    bytes += textBytes;
  }
  return parts;
}
