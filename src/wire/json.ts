/** JSON for all interfaces. Integers beyond 2^53 keep every digit. */
import { parse, stringify } from 'lossless-json';

/** An integer in a message, from 0 to 2^64 - 1. It is a bigint only if a number would lose precision. */
export type WireInt = number | bigint;

/** A text without a run of 16 digits contains no integer beyond 2^53 that is written out in digits. */
const LONG_DIGITS = /\d{16}/;

function parseNumber(text: string): number | bigint {
  if (/^-?\d+$/.test(text)) {
    const value = Number(text);
    return Number.isSafeInteger(value) ? value : BigInt(text);
  }
  return Number(text);
}

/** Parses JSON without losing digits of large integers. Throws an error if the text is malformed. */
export function parseJson(text: string): unknown {
  return LONG_DIGITS.test(text) ? parse(text, null, parseNumber) : JSON.parse(text);
}

function hasBigint(value: unknown): boolean {
  if (typeof value === 'bigint') return true;
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).some(hasBigint);
}

/** Formats a value as JSON. Bigints become integers, and undefined becomes `null`. */
export function formatJson(value: unknown): string {
  return (hasBigint(value) ? stringify(value) : JSON.stringify(value)) ?? 'null';
}

/** Whether the value is a JSON object. Arrays and null are not. */
export function isJsonObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether the value is an integer that a message may contain. The upper limit of 2^64 - 1 is checked only for bigints. */
export function isWireInt(value: unknown): value is WireInt {
  if (typeof value === 'bigint') return value >= 0n && value < 1n << 64n;
  return typeof value === 'number' && Number.isInteger(value) && value >= 0;
}
