import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { test } from 'node:test';

/**
 * Golden forms are exact texts that the program encodes, stored in files. The program must still encode the same bytes, and
 * must decode each form to the value that was encoded. With `UPDATE_GOLDEN=1` the tests rewrite the files, except in CI.
 */

/** Environment variables of a process. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Thrown if golden forms would be rewritten in CI, which must compare with the committed files. */
export class GoldenUpdateInCiError extends Error {
  constructor() {
    super('UPDATE_GOLDEN is set in CI, where golden forms must not be rewritten');
    this.name = 'GoldenUpdateInCiError';
  }
}

/** Whether the environment requests that the files are rewritten. Throws GoldenUpdateInCiError if it does so in CI. */
export function shouldUpdateForms(environment: Environment): boolean {
  if (!environment.UPDATE_GOLDEN) return false;
  if (environment.CI) throw new GoldenUpdateInCiError();
  return true;
}

/** One file of golden forms, which maps the name of each form to its text. */
export class GoldenForms {
  private readonly path: URL;
  private readonly textsByName: Map<string, string>;
  private readonly checkedNames = new Set<string>();

  /** Opens `forms/<name>.json`. If `isUpdating` is set, the checked texts replace its content instead of being compared. */
  constructor(
    name: string,
    private readonly isUpdating = shouldUpdateForms(process.env),
  ) {
    this.path = new URL(`./forms/${name}.json`, import.meta.url);
    const shouldReadFile = !isUpdating && existsSync(this.path);
    this.textsByName = new Map(Object.entries(shouldReadFile ? readForms(this.path) : {}));
  }

  /** Asserts that the text equals the form of this name. Each name may be checked only once. */
  check(formName: string, text: string): void {
    assert.ok(!this.checkedNames.has(formName), `form "${formName}" is checked twice`);
    this.checkedNames.add(formName);
    if (this.isUpdating) this.textsByName.set(formName, text);
    assert.equal(text, this.textsByName.get(formName), formName);
  }

  /** Returns the text of a form. */
  getText(formName: string): string {
    const text = this.textsByName.get(formName);
    assert.ok(text !== undefined, `no golden form is named "${formName}"`);
    return text;
  }

  /**
   * Declares the last test of a test file. It fails if the file holds a form that no test has checked, for example because
   * its case was removed. If the forms are being updated, it writes the file.
   */
  addCompletenessTest(): void {
    test('every golden form in the file is checked', () => {
      assert.deepEqual([...this.checkedNames].sort(), [...this.textsByName.keys()].sort());
      if (this.isUpdating)
        writeFileSync(this.path, `${JSON.stringify(Object.fromEntries(this.textsByName), undefined, 2)}\n`);
    });
  }
}

/** Reads a file of golden forms. The result maps the name of each form to its text. */
export function readForms(path: URL): Record<string, string> {
  return JSON.parse(readFileSync(path, 'utf8')) as Record<string, string>;
}

/** Encodes values of one kind to text, and decodes them. */
export interface FormCodec<T> {
  encode: (value: T) => string;
  decode: (text: string) => unknown;
}

/** Declares one test for each case: the encoded value equals its golden form, and the decoded form equals the value. */
export function testRoundTrips<T>(
  forms: GoldenForms,
  kind: string,
  cases: Readonly<Record<string, T>>,
  { encode, decode }: FormCodec<T>,
): void {
  for (const [name, value] of Object.entries(cases))
    test(`${kind}: ${name}`, () => {
      const formName = `${kind}: ${name}`;
      forms.check(formName, encode(value));
      assert.deepEqual(decode(forms.getText(formName)), value);
    });
}
