import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import ts from 'typescript';

/**
 * Names that other programs, stored data and operators rely on. A rename that reaches one of them would be understood by
 * neither the other versions of the program nor the services around it, so each must stand where it is encoded or read.
 */
const LIST = new URL('./external-names.txt', import.meta.url);
const ROOT = new URL('../../', import.meta.url);

/** The external names of one source file. */
interface NamesOfFile {
  readonly file: string;
  readonly names: string[];
}

function parseList(text: string): NamesOfFile[] {
  const groups: NamesOfFile[] = [];
  for (const line of text.split('\n')) {
    if (line === '' || line.startsWith('#')) continue;
    const heading = /^\[(.+)\]$/.exec(line);
    if (heading?.[1]) groups.push({ file: heading[1], names: [] });
    else groups.at(-1)?.names.push(line);
  }
  return groups;
}

/** Whether a text is a name, or holds it: as a parameter of a query, or as a part if the name is more than one word. */
const holdsName = (text: string, name: string): boolean =>
  text === name || (/^\w+$/.test(name) ? new RegExp(`\\b${name}=`).test(text) : text.includes(name));

/** Whether a text holds a name that no letter, digit or underscore continues; for files that are not TypeScript. */
const holdsWord = (text: string, name: string): boolean =>
  /^\w+$/.test(name) ? new RegExp(`\\b${name}\\b`).test(text) : text.includes(name);

/** What a module can write out: names of properties, and texts. Names of variables, functions and types are left out. */
function externalTextsOf(file: string, source: string): Set<string> {
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

/** The names that a file no longer holds. */
function missingNames({ file, names }: NamesOfFile): string[] {
  const source = readFileSync(new URL(file, ROOT), 'utf8');
  if (!file.endsWith('.ts')) return names.filter((name) => !holdsWord(source, name));
  const texts = [...externalTextsOf(file, source)];
  return names.filter((name) => !texts.some((text) => holdsName(text, name)));
}

const GROUPS = parseList(readFileSync(LIST, 'utf8'));

for (const group of GROUPS) {
  test(`${group.file} still encodes or reads its external names`, () => {
    assert.ok(group.names.length > 0, `${group.file} has no name in the list`);
    assert.deepEqual(missingNames(group), []);
  });
}

test('the list of external names is whole', () => {
  const nameCount = GROUPS.reduce((sum, { names }) => sum + names.length, 0);
  assert.ok(GROUPS.length >= 30, `only ${GROUPS.length} files in the list`);
  assert.ok(nameCount >= 300, `only ${nameCount} names in the list`);
});

test('a name that is gone from its file is found missing', () => {
  assert.deepEqual(missingNames({ file: 'src/workers/codec.ts', names: ['baton', 'batton'] }), ['batton']);
});
