import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { PLATFORM_SETTINGS } from './fixtures.js';

/** Runs the built program, with the generated validators and the code cache. */
function runProgram(...args: string[]): { status: number | null; lines: string[] } {
  const { status, stderr } = spawnSync(process.execPath, ['target/main.cjs', ...args], { encoding: 'utf8' });
  return { status, lines: stderr.trimEnd().split('\n') };
}

// The build replaces the schemas with generated validators. Each mistake must still be reported in one line, with the exit
// code of its kind.
test('the built program reports invalid settings (exit code 2) and invalid options (exit code 1) in one line', () => {
  const folder = mkdtempSync(join(tmpdir(), 'program-'));
  const writeSettingsFile = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const validFile = writeSettingsFile('good.toml', PLATFORM_SETTINGS);
  const cases: [args: string[], status: number, message: RegExp][] = [
    [['--config', join(folder, 'none.toml')], 2, /none\.toml: ENOENT/],
    [['--config', writeSettingsFile('broken.toml', 'member = ')], 2, /broken\.toml: /],
    [
      [
        '--config',
        writeSettingsFile('type.toml', PLATFORM_SETTINGS.replace('lease_s = 14.0', 'lease_s = "x"')),
      ],
      2,
      /lease_s must be/,
    ],
    [
      ['--config', writeSettingsFile('lacking.toml', PLATFORM_SETTINGS.replace('member = "a"', ''))],
      2,
      /'member'/,
    ],
    [
      ['--config', validFile, '--operator', writeSettingsFile('o.json', '{"idleKeepS": -1}')],
      2,
      /idleKeepS must be >= 0/,
    ],
    [
      ['--config', validFile, '--operator', writeSettingsFile('p.json', '{"other": 1}')],
      2,
      /additional properties/,
    ],
    [
      ['--config', validFile, '--operator', writeSettingsFile('q.json', '{"duties":{"enabled":1}}')],
      2,
      /duties\/enabled must be boolean/,
    ],
    [['--config', validFile, '--unknown'], 1, /unknown option/],
    [[], 1, /--config/],
  ];
  for (const [args, status, message] of cases) {
    const result = runProgram(...args);
    assert.equal(result.status, status, args.join(' '));
    assert.equal(result.lines.length, 1, result.lines.join('\n'));
    assert.match(result.lines[0]!, message);
  }
  rmSync(folder, { recursive: true });
});
