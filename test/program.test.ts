import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { SETTINGS } from './fixtures.js';

/** Runs the program as the build left it, with the generated validators and the code cache. */
function runProgram(...args: string[]): { status: number | null; lines: string[] } {
  const { status, stderr } = spawnSync(process.execPath, ['target/main.cjs', ...args], { encoding: 'utf8' });
  return { status, lines: stderr.trimEnd().split('\n') };
}

// The build replaces the schemas by generated code: an error must still get its one line and its exit code.
test('the built program tells wrong settings in one line, with exit code 2', () => {
  const folder = mkdtempSync(join(tmpdir(), 'program-'));
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const good = write('good.toml', SETTINGS);
  const cases: [args: string[], status: number, message: RegExp][] = [
    [['--config', join(folder, 'none.toml')], 2, /none\.toml: ENOENT/],
    [['--config', write('broken.toml', 'member = ')], 2, /broken\.toml: /],
    [
      ['--config', write('type.toml', SETTINGS.replace('lease_s = 14.0', 'lease_s = "x"'))],
      2,
      /lease_s must be/,
    ],
    [['--config', write('lacking.toml', SETTINGS.replace('member = "a"', ''))], 2, /'member'/],
    [['--config', good, '--operator', write('o.json', '{"idleKeepS": -1}')], 2, /idleKeepS must be >= 0/],
    [['--config', good, '--operator', write('p.json', '{"other": 1}')], 2, /additional properties/],
    [
      ['--config', good, '--operator', write('q.json', '{"duties":{"enabled":1}}')],
      2,
      /duties\/enabled must be boolean/,
    ],
    [['--config', good, '--unknown'], 1, /unknown option/],
    [[], 1, /--config/],
  ];
  for (const [args, status, message] of cases) {
    const ended = runProgram(...args);
    assert.equal(ended.status, status, args.join(' '));
    assert.equal(ended.lines.length, 1, ended.lines.join('\n'));
    assert.match(ended.lines[0]!, message);
  }
  rmSync(folder, { recursive: true });
});
