/** Golden forms of the commands to workers, and the decoding of heartbeats. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ExitCause, Heartbeat, TaskStatus, WorkerCommand } from '../../src/cluster/worker-messages.js';
import { encodeCommands, encodeRedirect, parseHeartbeat } from '../../src/workers/codec.js';
import { formatJson, type WireInt } from '../../src/wire/json.js';
import { GoldenForms } from './golden-forms.js';

const forms = new GoldenForms('worker-wire');

const LARGE_INTEGER = 2n ** 63n + 1n;

const START_COMMAND: WorkerCommand = { kind: 'start', taskName: 'job-000412/3', attemptNumber: 12_582_913 };
const STOP_COMMAND: WorkerCommand = {
  kind: 'stop',
  taskName: 'job-000412/4',
  attemptNumber: 12_582_914,
  gracePeriodS: 30,
};
const ACKNOWLEDGE_COMMAND: WorkerCommand = {
  kind: 'acknowledge',
  taskName: 'job-000412/5',
  attemptNumber: LARGE_INTEGER,
};

/** The fencing token, the commands and, for a direct call, the incarnation of the worker that may execute them. */
const COMMAND_CASES: Record<
  string,
  [fencingToken: WireInt, commands: WorkerCommand[], incarnation?: WireInt]
> = {
  none: [12, []],
  run: [12, [START_COMMAND]],
  stop: [12, [STOP_COMMAND]],
  'stop at once': [12, [{ ...STOP_COMMAND, gracePeriodS: 0 }]],
  clear: [12, [ACKNOWLEDGE_COMMAND]],
  'one of each': [LARGE_INTEGER, [START_COMMAND, STOP_COMMAND, ACKNOWLEDGE_COMMAND]],
  'for a session': [12, [START_COMMAND, STOP_COMMAND], 3],
  'for a large session': [12, [], LARGE_INTEGER],
};

for (const [name, [fencingToken, commands, incarnation]] of Object.entries(COMMAND_CASES))
  test(`commands: ${name}`, () =>
    forms.check(`commands: ${name}`, formatJson(encodeCommands(fencingToken, commands, incarnation))));

test('a redirect to another controller is encoded', () =>
  forms.check('redirect', formatJson(encodeRedirect('hearth-1'))));

const COMMON_FIELDS =
  '"hearth":"vm-1","address":"10.1.0.1:9000","build":"g8","yard":"a","loaner":true,"tenure":2,"tick":17,"baton":12';

const HEARTBEAT: Heartbeat = {
  nodeName: 'vm-1',
  address: '10.1.0.1:9000',
  type: 'g8',
  zone: 'a',
  spot: true,
  incarnation: 2,
  sequence: 17,
  fencingToken: 12,
  interruptionNoticeS: null,
  tasks: [],
};

const TASK_STATUS: TaskStatus = {
  jobUid: 'job-000412',
  taskIndex: 3,
  attemptNumber: 7,
  state: 'running',
  exitCause: undefined,
};

const createHeartbeatText = (taskFields: string): string =>
  `{${COMMON_FIELDS},"pieces":[{"piece":"job-000412/3","try":7,${taskFields}}]}`;

const createExitedHeartbeat = (cause: TaskStatus['exitCause']): Heartbeat => ({
  ...HEARTBEAT,
  tasks: [{ ...TASK_STATUS, state: 'exited', exitCause: cause }],
});

/** Exit causes in the wire format, and as they are decoded. */
const EXIT_CAUSES: [wireCause: string, cause: ExitCause][] = [
  ['done', 'completed'],
  ['stopped', 'stopped'],
  ['error', 'failed'],
  ['full', 'insufficientResources'],
  ['in_use', 'conflictingAttempt'],
  ['no_such', 'unknownTask'],
  ['of a later version', 'unknown'],
];

/** Heartbeats in the wire format, and the decoded heartbeat, which is undefined if the text is malformed. */
const HEARTBEAT_CASES: [text: string, expected: Heartbeat | undefined][] = [
  [`{${COMMON_FIELDS},"warningS":null,"pieces":[]}`, HEARTBEAT],
  [`{${COMMON_FIELDS},"pieces":[]}`, HEARTBEAT],
  [
    `{${COMMON_FIELDS},"warningS":28.5,"pieces":[],"later":{"a":1}}`,
    { ...HEARTBEAT, interruptionNoticeS: 28.5 },
  ],
  [`{${COMMON_FIELDS},"warningS":"soon","pieces":[]}`, HEARTBEAT],
  [`{${COMMON_FIELDS.replace('"loaner":true,', '')},"pieces":[]}`, { ...HEARTBEAT, spot: false }],
  [
    `{${COMMON_FIELDS.replace('"tick":17', `"tick":${LARGE_INTEGER}`)},"pieces":[]}`,
    { ...HEARTBEAT, sequence: LARGE_INTEGER },
  ],
  ...(['fetching', 'running', 'saving'] as const).map((state): [string, Heartbeat] => [
    createHeartbeatText(`"phase":"${state}"`),
    { ...HEARTBEAT, tasks: [{ ...TASK_STATUS, state }] },
  ]),
  ...EXIT_CAUSES.map(([wireCause, cause]): [string, Heartbeat] => [
    createHeartbeatText(`"phase":"exited","cause":"${wireCause}"`),
    createExitedHeartbeat(cause),
  ]),
  [createHeartbeatText('"phase":"exited"'), createExitedHeartbeat(undefined)],
  [
    createHeartbeatText('"phase":"odd","later":1'),
    { ...HEARTBEAT, tasks: [{ ...TASK_STATUS, state: 'fetching' }] },
  ],
  [createHeartbeatText('"phase":7'), undefined],
  [`{${COMMON_FIELDS},"pieces":[{"piece":"job-000412","try":7,"phase":"running"}]}`, undefined],
  [`{${COMMON_FIELDS},"pieces":[{"piece":"job-000412/x","try":7,"phase":"running"}]}`, undefined],
  [`{${COMMON_FIELDS},"pieces":[{"piece":"job-000412/3","try":-7,"phase":"running"}]}`, undefined],
  [`{${COMMON_FIELDS},"pieces":[null]}`, undefined],
  [`{${COMMON_FIELDS},"pieces":{}}`, undefined],
  [`{${COMMON_FIELDS}}`, undefined],
  [`{${COMMON_FIELDS.replace('"baton":12', '"baton":"12"')},"pieces":[]}`, undefined],
  [`{${COMMON_FIELDS.replace('"hearth":"vm-1",', '')},"pieces":[]}`, undefined],
  ['[]', undefined],
  ['', undefined],
  ['{', undefined],
];

for (const [text, expected] of HEARTBEAT_CASES)
  test(`heartbeat: ${text}`, () => assert.deepEqual(parseHeartbeat(text), expected));

forms.addCompletenessTest();
