/** Finds tests that are listed in KNOWN-RED.txt. They run and are printed, but their failure does not fail the run. */
import { readFileSync } from 'node:fs';

/** An entry begins with its number, and names its test in a line of its own. */
const ENTRY = /^(\d+)\. [^]*?(?=^\d+\. |(?![^]))/gm;
const TEST_LINE = /^ *Test: (.*)$/m;

/** Returns the reason why the failure of the test is known. Undefined if KNOWN-RED.txt does not list the test. */
export function findKnownRed(
  testName: string,
  text = readFileSync('KNOWN-RED.txt', 'utf8'),
): string | undefined {
  for (const [entry, number] of text.matchAll(ENTRY))
    if (TEST_LINE.exec(entry)?.[1] === testName) return `KNOWN-RED.txt, entry ${number}`;
  return undefined;
}
