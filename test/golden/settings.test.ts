/** Tests of the settings files, with golden forms of the errors for invalid settings, and of the exit codes. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadSettings, SettingsError, type OperatorSettings, type Settings } from '../../src/settings.js';
import { findSettingsWarnings } from '../../src/settings-warnings.js';
import { GoldenForms } from './golden-forms.js';

const forms = new GoldenForms('settings');

const resolvePath = (name: string): string => fileURLToPath(new URL(name, import.meta.url));
const PLATFORM_PATH = resolvePath('./forms/platform.toml');
const OPERATOR_PATH = resolvePath('./forms/operator.json');

/**
 * The settings in platform.toml and operator.json. Each limit of the state store is the lower one of its current value and the
 * announced next value.
 */
const EXPECTED_SETTINGS: Settings = {
  member: 'hearth-0',
  zone: 'harbour-east',
  publicAddress: '10.0.0.1:8080',
  peerAddress: '10.0.0.1:8081',
  peers: [
    { member: 'hearth-1', zone: 'mill-west', address: '10.0.0.2:8081' },
    { member: 'hearth-2', zone: 'harbour-east', address: '10.0.0.3:8081' },
  ],
  cloudAddress: '10.2.0.2:8443',
  stateStoreAddress: '10.2.0.1:2379',
  controllerCount: 3,
  zones: ['harbour-east', 'mill-west'],
  teams: [
    { name: 'timetable', guaranteedCpus: 24, cpuLimit: 64, guaranteedAccelerators: 2, acceleratorLimit: 8 },
    { name: 'archive', guaranteedCpus: 24.5, cpuLimit: 40, guaranteedAccelerators: 0, acceleratorLimit: 0 },
  ],
  deadlineObjectives: [
    { jobClass: 'letters', share: 0.93, deadlineFactor: 1.5 },
    { jobClass: 'reports', share: 1, deadlineFactor: 1 },
  ],
  startObjectives: [{ jobClass: 'portal', withinS: 45 }],
  heartbeatIntervalS: 1.5,
  leaseDurationS: 14,
  maxCancellationS: 39,
  stateLimits: {
    requestsPerSecond: 200,
    writesPerSecond: 60,
    valueBytes: 8_192,
    maxTransactionOperations: 10,
  },
  cloudLimits: { rps: 6, maxListLagS: 5 },
  socketLimits: { maxClientConnections: 701, maxCommandConnections: 135 },
  memoryBytes: 146 * 1024 * 1024,
  operator: { idleKeepS: 12.5, useSpot: false, duties: { enabled: true } },
};

const DEFAULT_OPERATOR_SETTINGS: OperatorSettings = {
  idleKeepS: 20,
  useSpot: true,
  duties: { enabled: false },
};

const temporaryDirectory = mkdtempSync(join(tmpdir(), 'golden-settings-'));
after(() => rmSync(temporaryDirectory, { recursive: true }));

function writeTemporaryFile(name: string, text: string): string {
  writeFileSync(join(temporaryDirectory, name), text);
  return join(temporaryDirectory, name);
}

const platformText = readFileSync(PLATFORM_PATH, 'utf8');

/** Returns the platform's file with one text replaced. The file must contain that text. */
function replaceInPlatformText(searchText: string, replacement: string): string {
  assert.ok(platformText.includes(searchText), searchText);
  return platformText.replace(searchText, replacement);
}

test('the settings files are read by their external names', () => {
  assert.deepEqual(loadSettings(PLATFORM_PATH, OPERATOR_PATH), EXPECTED_SETTINGS);
});

test('omitted settings have default values', () => {
  assert.deepEqual(loadSettings(PLATFORM_PATH), {
    ...EXPECTED_SETTINGS,
    operator: DEFAULT_OPERATOR_SETTINGS,
  });
  assert.deepEqual(
    loadSettings(PLATFORM_PATH, writeTemporaryFile('empty.json', '{}')).operator,
    DEFAULT_OPERATOR_SETTINGS,
  );
  const partialPath = writeTemporaryFile('partial.json', '{"duties":{},"useSpot":false}');
  assert.deepEqual(loadSettings(PLATFORM_PATH, partialPath).operator, {
    ...DEFAULT_OPERATOR_SETTINGS,
    useSpot: false,
  });
  const pathWithoutMemory = writeTemporaryFile(
    'without-memory.toml',
    replaceInPlatformText('mem_mb = 146.0\n', ''),
  );
  assert.equal(loadSettings(pathWithoutMemory).memoryBytes, 108 * 1024 * 1024);
  const pathWithoutLists = writeTemporaryFile(
    'without-lists.toml',
    platformText.replaceAll(/\[\[(seeds|deployment\.(teams|objectives))\]\]\n(.+\n)+/g, ''),
  );
  assert.deepEqual(loadSettings(pathWithoutLists, OPERATOR_PATH), {
    ...EXPECTED_SETTINGS,
    peers: [],
    teams: [],
    deadlineObjectives: [],
    startObjectives: [],
  });
});

/** Replacements in the platform's file, each of which makes it invalid. */
const PLATFORM_MISTAKES: Record<string, [searchText: string, replacement: string]> = {
  'no public address': ['public_addr = "10.0.0.1:8080"\n', ''],
  'an address by name': ['"10.0.0.1:8081"\nlater', '"hearth:8081"\nlater'],
  'an empty name': ['domain = "harbour-east"\npublic', 'domain = ""\npublic'],
  'a seed without zone': ['domain = "mill-west"\naddress', 'address'],
  'no state service': ['state = "10.2.0.1:2379"\n', ''],
  'no zones': ['zones = ["harbour-east", "mill-west"]\n', ''],
  'half a controller': ['count = 3', 'count = 2.5'],
  'no limit of a team': ['cpus_max = 40.0\n', ''],
  'a negative share of a team': ['gpus = 2.0', 'gpus = -2.0'],
  'an objective within no time': ['within_s = 45.0', 'within_s = 0.0'],
  'no lease': ['lease_s = 14.0\n', ''],
  'a rate that is a text': ['write_rps = 80.0', 'write_rps = "many"'],
  'too few keys in a transaction': ['txn_ops = 12', 'txn_ops = 3'],
  'announced values too small': ['value_kb = 16.0', 'value_kb = 0.5'],
  'too few connections': ['max_connections = 900', 'max_connections = 100'],
  'no quota': ['[deployment.quota]', '[deployment.other]'],
};

/** Invalid contents of the operator's file. */
const OPERATOR_MISTAKES: Record<string, string> = {
  'an unknown setting': '{"idleKeep":1}',
  'an unknown setting of the duties': '{"duties":{"on":true}}',
  'a negative time': '{"idleKeepS":-1}',
  'a text for a mark': '{"useSpot":"yes"}',
  'a list': '[]',
};

/** Loads invalid settings and returns the error message without the directory of the file. */
function getSettingsErrorMessage(platformPath: string, operatorPath?: string): string {
  try {
    loadSettings(platformPath, operatorPath);
  } catch (error) {
    assert.ok(error instanceof SettingsError, String(error));
    return error.message.replaceAll(`${temporaryDirectory}/`, '');
  }
  return assert.fail('invalid settings were accepted');
}

for (const [name, [searchText, replacement]] of Object.entries(PLATFORM_MISTAKES))
  test(`invalid platform settings: ${name}`, () =>
    forms.check(
      name,
      getSettingsErrorMessage(
        writeTemporaryFile('platform.toml', replaceInPlatformText(searchText, replacement)),
      ),
    ));

for (const [name, text] of Object.entries(OPERATOR_MISTAKES))
  test(`invalid operator settings: ${name}`, () =>
    forms.check(
      `operators: ${name}`,
      getSettingsErrorMessage(PLATFORM_PATH, writeTemporaryFile('operator.json', text)),
    ));

/**
 * Changes to the valid settings, and the names of the settings that the warnings then name. With each change except the empty
 * one, the service starts but can't meet its guarantees.
 */
const INSUFFICIENT_SETTINGS: [overrides: Partial<Settings>, settingNames: string[]][] = [
  [{}, []],
  [{ stateLimits: { ...EXPECTED_SETTINGS.stateLimits, requestsPerSecond: 1 } }, ['state.rps']],
  [{ stateLimits: { ...EXPECTED_SETTINGS.stateLimits, writesPerSecond: 1 } }, ['state.write_rps']],
  [{ stateLimits: { ...EXPECTED_SETTINGS.stateLimits, valueBytes: 512 } }, ['state.value_kb']],
  [{ stateLimits: { ...EXPECTED_SETTINGS.stateLimits, maxTransactionOperations: 3 } }, ['state.txn_ops']],
  [{ cloudLimits: { ...EXPECTED_SETTINGS.cloudLimits, rps: 0.5 } }, ['cloud.rps']],
  [
    { socketLimits: { ...EXPECTED_SETTINGS.socketLimits, maxClientConnections: 9 } },
    ['quota.max_connections (for clients)'],
  ],
  [{ memoryBytes: 64 * 1024 * 1024 }, ['quota.mem_mb']],
  [{ leaseDurationS: 5 }, ['workers.lease_s']],
  [{ maxCancellationS: 15 }, ['workers.cancel_s']],
];

test('warnings about insufficient settings use the names of the settings file', () => {
  for (const [overrides, settingNames] of INSUFFICIENT_SETTINGS) {
    const warnings = findSettingsWarnings({ ...EXPECTED_SETTINGS, ...overrides });
    assert.deepEqual(
      warnings.map((warning) => warning.split(' is ')[0]),
      settingNames,
    );
  }
});

/** Runs the program from its source files. `stderrLines` are the lines that it wrote to the standard error stream. */
function runProgram(...programArguments: string[]): {
  status: number | null;
  stdout: string;
  stderrLines: string[];
} {
  const command = ['--import', 'tsx', resolvePath('../../src/main.ts'), ...programArguments];
  const { status, stdout, stderr } = spawnSync(process.execPath, command, {
    encoding: 'utf8',
    timeout: 60_000,
  });
  return { status, stdout, stderrLines: stderr.trimEnd().split('\n') };
}

test('exit code 2: the operator settings file is missing or malformed', () => {
  for (const [path, message] of [
    [join(temporaryDirectory, 'missing.json'), /missing\.json: ENOENT$/],
    [writeTemporaryFile('broken.json', '{'), /broken\.json: /],
  ] as const) {
    const { status, stderrLines } = runProgram('--config', PLATFORM_PATH, '--operator', path);
    assert.equal(status, 2);
    assert.equal(stderrLines.length, 1, stderrLines.join('\n'));
    assert.match(stderrLines[0]!, /^pumicehinge-controller: /);
    assert.match(stderrLines[0]!, message);
  }
});

test('exit code 3: a listen address that does not belong to the host', () => {
  const loopbackText = replaceInPlatformText('"10.0.0.1:8080"', '"127.0.0.1:0"').replace(
    '"10.0.0.1:8081"\nlater',
    '"127.0.0.1:0"\nlater',
  );
  for (const addressSetting of ['public_addr', 'cluster_listen']) {
    const text = loopbackText.replace(
      `${addressSetting} = "127.0.0.1:0"`,
      `${addressSetting} = "192.0.2.1:8080"`,
    );
    const { status, stderrLines } = runProgram('--config', writeTemporaryFile('foreign-address.toml', text));
    assert.equal(status, 3, stderrLines.join('\n'));
    const { level, member, err } = JSON.parse(stderrLines.at(-1)!) as {
      level: number;
      member: string;
      err: { code: string };
    };
    assert.deepEqual([level, member, err.code], [50, 'hearth-0', 'EADDRNOTAVAIL']);
  }
});

test('exit code 0: the version is printed', () => {
  const { status, stdout } = runProgram('--version');
  const { version } = JSON.parse(readFileSync(resolvePath('../../package.json'), 'utf8')) as {
    version: string;
  };
  assert.deepEqual([status, stdout], [0, `${version}\n`]);
});

forms.addCompletenessTest();
