import assert from 'node:assert/strict';
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';

/** A log line that an operator looks for must be one that the program writes: the runbook would mislead otherwise. */
const PAGES = ['docs/operations.md', 'docs/duties-operators.md'];
/** A quotation of several words, as log lines are; settings, paths, fields and commands are quoted in other forms. */
const LOG_LINE = /^[a-z][a-z-]*(?:[,;]? [a-z][a-z-]*)+$/;
/** Fewest log lines that the runbook quotes: a change of its form must not leave the test without any. */
const MIN_QUOTED_LINES = 40;

function modulesBelow(path: string): string[] {
  if (statSync(path).isFile()) return path.endsWith('.ts') ? [path] : [];
  const names = readdirSync(path).filter((name) => name !== 'node_modules' && name !== 'simulation');
  return names.flatMap((name) => modulesBelow(join(path, name)));
}

function stringsOf(module: string): string[] {
  const strings: string[] = [];
  const visit = (node: ts.Node): void => {
    if (ts.isStringLiteralLike(node)) strings.push(node.text);
    ts.forEachChild(node, visit);
  };
  visit(ts.createSourceFile(module, readFileSync(module, 'utf8'), ts.ScriptTarget.Latest));
  return strings;
}

/** The log lines that a page quotes; code blocks are left out. */
function quotedLogLines(page: string): string[] {
  const prose = readFileSync(page, 'utf8').replace(/^ {4}.*$/gm, '');
  return [...prose.matchAll(/`([^`]+)`/g)].map(([, quoted]) => quoted!).filter((each) => LOG_LINE.test(each));
}

test('each log line that the runbook quotes exists in the sources', () => {
  const strings = new Set(['src', 'packages'].flatMap(modulesBelow).flatMap(stringsOf));
  const quoted = PAGES.flatMap(quotedLogLines);
  assert.deepEqual(
    quoted.filter((line) => !strings.has(line)),
    [],
  );
  const distinct = new Set(quoted).size;
  assert.ok(distinct >= MIN_QUOTED_LINES, `only ${distinct} log lines are quoted`);
});
