import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import ts from 'typescript';

/**
 * Checks the names that other programs, stored data and operators depend on. If a refactoring renamed one of them, neither
 * other versions of the program nor the services around it would understand it. Therefore each name must still occur in the
 * file that encodes or reads it.
 */
const LIST_URL = new URL('./external-names.txt', import.meta.url);
const ROOT_URL = new URL('../../', import.meta.url);

/** The external names of one source file. */
interface ExternalNameGroup {
  readonly file: string;
  readonly names: string[];
}

function parseNameList(text: string): ExternalNameGroup[] {
  const groups: ExternalNameGroup[] = [];
  for (const line of text.split('\n')) {
    if (line === '' || line.startsWith('#')) continue;
    const heading = /^\[(.+)\]$/.exec(line);
    if (heading?.[1]) groups.push({ file: heading[1], names: [] });
    else groups.at(-1)?.names.push(line);
  }
  return groups;
}

/**
 * Whether a text equals a name or contains it. A single word is only found inside a text as a query parameter, thus followed
 * by "=". Any other name, such as a path, may occur anywhere in the text.
 */
const containsName = (text: string, name: string): boolean =>
  text === name || (/^\w+$/.test(name) ? new RegExp(`\\b${name}=`).test(text) : text.includes(name));

/** Whether a text contains a name. A single word must not be part of a longer word. Used for files that are not TypeScript. */
const containsWord = (text: string, name: string): boolean =>
  /^\w+$/.test(name) ? new RegExp(`\\b${name}\\b`).test(text) : text.includes(name);

/** Collects what a module can encode: property names and string literals, but no names of variables, functions or types. */
function collectExternalTexts(file: string, source: string): Set<string> {
  const texts = new Set<string>();
  const visit = (node: ts.Node): void => {
    if (ts.isImportDeclaration(node)) return;
    if (ts.isStringLiteralLike(node) || ts.isRegularExpressionLiteral(node)) texts.add(node.text);
    else if (ts.isTemplateHead(node) || ts.isTemplateMiddle(node) || ts.isTemplateTail(node))
      texts.add(node.text);
    else if (ts.isPropertyAccessExpression(node)) texts.add(node.name.text);
    else if (ts.isShorthandPropertyAssignment(node)) texts.add(node.name.text);
    else if (ts.isBindingElement(node) && ts.isObjectBindingPattern(node.parent))
      texts.add((node.propertyName ?? node.name).getText());
    else if ((ts.isPropertyAssignment(node) || ts.isPropertySignature(node)) && ts.isIdentifier(node.name))
      texts.add(node.name.text);
    ts.forEachChild(node, visit);
  };
  visit(ts.createSourceFile(file, source, ts.ScriptTarget.Latest, true));
  return texts;
}

/** Returns the names that no longer occur in their file. */
function findMissingNames({ file, names }: ExternalNameGroup): string[] {
  const source = readFileSync(new URL(file, ROOT_URL), 'utf8');
  if (!file.endsWith('.ts')) return names.filter((name) => !containsWord(source, name));
  const texts = [...collectExternalTexts(file, source)];
  return names.filter((name) => !texts.some((text) => containsName(text, name)));
}

const NAME_GROUPS = parseNameList(readFileSync(LIST_URL, 'utf8'));

for (const group of NAME_GROUPS) {
  test(`${group.file} still encodes or reads its external names`, () => {
    assert.ok(group.names.length > 0, `the list has no names for ${group.file}`);
    assert.deepEqual(findMissingNames(group), []);
  });
}

test('the list of external names has at least 30 files and 300 names', () => {
  const nameCount = NAME_GROUPS.reduce((sum, { names }) => sum + names.length, 0);
  assert.ok(NAME_GROUPS.length >= 30, `only ${NAME_GROUPS.length} files in the list`);
  assert.ok(nameCount >= 300, `only ${nameCount} names in the list`);
});

test('a name that does not occur in its file is reported as missing', () => {
  assert.deepEqual(findMissingNames({ file: 'src/workers/codec.ts', names: ['baton', 'batton'] }), [
    'batton',
  ]);
});
