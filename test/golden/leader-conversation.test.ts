/**
 * Golden forms of what a leader sends to the state store (except reads), the cloud, workers and peers while it runs jobs, and
 * of its requests for lease votes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { ControllerHarness } from './controller-harness.js';
import { GoldenForms } from './golden-forms.js';
import { encodeFrameHex, findMessagesTo } from './peer-frame-hex.js';
import { FakeCloud } from './fake-cloud.js';

const forms = new GoldenForms('leader-conversation');

/** Interval between two heartbeats of each worker. */
const HEARTBEAT_INTERVAL_MS = 500;
/** Simulated time within which each step of the scenario must be completed. */
const STEP_TIMEOUT_MS = 90_000;

const ARRAY_JOB = {
  uid: 'job-000001',
  cohort: 'batch',
  crew: 'blue',
  shape: 'sweep',
  rank: 'standard',
  pieces: 3,
  cpus: 2,
  accelerators: 0,
  memGb: 4,
  oneZone: false,
  scatter: false,
  loaner: false,
  cast: 'img-1',
  sizeGb: 1,
  guessS: 20,
  pinS: 0,
  pinningS: 0,
};

const SERVICE_JOB = {
  ...ARRAY_JOB,
  uid: 'job-000002',
  crew: 'red',
  shape: 'standing',
  rank: 'prod',
  pieces: 1,
};

/** A leading controller with a fake cloud and fake workers, and the messages that they exchange. */
class LeaderSimulation {
  readonly cloud = new FakeCloud();
  readonly harness: ControllerHarness;
  /** Names of the workers that no longer send heartbeats. */
  readonly silentWorkers = new Set<string>();
  /** The distinct responses to heartbeats, in the order of their first occurrence. */
  readonly heartbeatResponses = new Set<string>();

  constructor(dutiesEnabled: boolean) {
    this.harness = new ControllerHarness((call) => this.cloud.respond(call), {
      operator: { idleKeepS: 2, useSpot: false, duties: { enabled: dutiesEnabled } },
    });
  }

  /** Lets the workers send heartbeats until the condition is met. */
  async runUntil(description: string, isMet: () => boolean): Promise<void> {
    for (let elapsedMs = 0; !isMet(); elapsedMs += HEARTBEAT_INTERVAL_MS) {
      assert.ok(
        elapsedMs < STEP_TIMEOUT_MS,
        `step not completed within ${STEP_TIMEOUT_MS} ms: ${description}`,
      );
      for (const worker of this.cloud.workers.values()) {
        if (this.silentWorkers.has(worker.name)) continue;
        const response = await this.harness.sendRequest('POST', '/v1/report', worker.createHeartbeat());
        this.heartbeatResponses.add(response);
        const [head, body] = response.split('\r\n\r\n') as [string, string];
        if (head.startsWith('HTTP/1.1 200')) worker.executeCommands(body);
      }
      await this.harness.advance(HEARTBEAT_INTERVAL_MS);
    }
  }

  submitJob(job: object): Promise<string> {
    return this.harness.sendRequest('POST', '/submissions', JSON.stringify(job));
  }

  /** The names of all running tasks, in ascending order. */
  get runningTasks(): string[] {
    return [...this.cloud.workers.values()].flatMap((worker) => worker.runningTasks).sort();
  }

  /** Ends a task on every worker. */
  endTask(taskName: string, cause: string): void {
    for (const worker of this.cloud.workers.values()) worker.endTask(taskName, cause);
  }

  /** Whether a transaction that the controller sent to the state store contains the text. */
  hasWritten(text: string): boolean {
    return this.harness.calls.some((call) => call.includes('/multi') && call.includes(text));
  }
}

/** Runs an array job and a service from submission to the termination of all nodes. */
async function runScenario(dutiesEnabled: boolean): Promise<LeaderSimulation> {
  const simulation = new LeaderSimulation(dutiesEnabled);
  const { harness } = simulation;
  harness.start();
  await simulation.runUntil('the controller is the leader', () => simulation.hasWritten('ph/catalog'));
  await simulation.submitJob(ARRAY_JOB);
  await simulation.runUntil('the tasks of the array run', () => simulation.runningTasks.length === 3);
  simulation.endTask('job-000001/0', 'done');
  simulation.endTask('job-000001/1', 'error');
  await simulation.runUntil('the failed task is restarted', () => simulation.runningTasks.length === 2);
  await simulation.submitJob(SERVICE_JOB);
  await simulation.runUntil('the service runs', () => simulation.runningTasks.includes('job-000002/0'));
  simulation.endTask('job-000001/1', 'done');
  simulation.endTask('job-000001/2', 'done');
  await simulation.runUntil('the array is done', () => simulation.hasWritten('"p":"d"'));
  await harness.sendRequest('POST', '/submissions/job-000002/abort');
  await simulation.runUntil('the service is stopped', () => simulation.runningTasks.length === 0);
  // One worker stops sending heartbeats. The other nodes are no longer needed.
  simulation.silentWorkers.add('vm-1');
  await simulation.runUntil(
    'the node without heartbeats is terminated',
    () => !simulation.cloud.workers.has('vm-1'),
  );
  await simulation.runUntil('all nodes are terminated', () => simulation.cloud.workers.size === 0);
  await harness.advance(6_000);
  return simulation;
}

/** The distinct requests whose address matches, in the order of their first occurrence. */
function findDistinctCalls(simulation: LeaderSimulation, address: RegExp): string[] {
  return [...new Set(simulation.harness.calls.filter((call) => address.test(call)))];
}

for (const [name, dutiesEnabled] of [
  ['duties off', false],
  ['duties on', true],
] as const)
  test(`messages of a leader from submission to termination of its nodes: ${name}`, async () => {
    const simulation = await runScenario(dutiesEnabled);
    const linesByDestination: Record<string, string[]> = {
      'to the state service': findDistinctCalls(simulation, /^state:1 /),
      'to the cloud': findDistinctCalls(simulation, /^cloud:1 /),
      'to workers': findDistinctCalls(simulation, /^vm-/),
      'in answers to reports': [...simulation.heartbeatResponses],
      'to its peers': [...new Set(simulation.harness.sentFrames)],
    };
    for (const [destination, lines] of Object.entries(linesByDestination)) {
      assert.ok(lines.length > 0, destination);
      lines.forEach((line, index) => forms.check(`${name}, ${destination} ${index + 1}`, line));
    }
    const responseText = linesByDestination['in answers to reports']!.join('\n');
    const commandText = linesByDestination['to workers']!.join('\n');
    for (const verb of ['run', 'stop', 'clear'])
      assert.ok(
        `${responseText}\n${commandText}`.includes(`"verb":"${verb}"`),
        `the leader sent no command ${verb}`,
      );
  });

test('a leader refused by the state store requests lease votes, then continues from the end offset of the votes', async () => {
  const harness = new ControllerHarness();
  harness.start();
  await harness.advance(5_000);
  harness.stateStore.refusedCallers.add('*');
  const findVoteRequests = (): PeerMessage[] =>
    findMessagesTo(harness, 'hearth-1').filter((message) => message.kind === 'leaseVoteRequest');
  for (let elapsedMs = 0; findVoteRequests().length === 0; elapsedMs += 10) {
    assert.ok(elapsedMs < STEP_TIMEOUT_MS, 'the leader sent no vote request in time');
    await harness.advance(10);
  }
  const [first] = findVoteRequests();
  assert.ok(first?.kind === 'leaseVoteRequest');
  const transfer = { messageCount: 0, endOffset: { logId: 77, sequence: 3 } };
  for (const member of ['hearth-1', 'hearth-2', 'hearth-3'])
    harness.receiveFromPeer(member, {
      kind: 'leaseVote',
      round: first.round,
      term: first.term,
      isGranted: true,
      transfer,
    });
  await harness.advance(1_000);
  const [, second] = findVoteRequests();
  assert.ok(second?.kind === 'leaseVoteRequest');
  assert.deepEqual(second.offset, transfer.endOffset);
  forms.check('not served: first question', encodeFrameHex(first));
  forms.check('not served: second question', encodeFrameHex(second));
  for (const message of [first, second])
    assert.ok(
      harness.sentFrames.includes(`hearth-1 ${encodeFrameHex(message)}`),
      'the sent frame differs from the encoded message',
    );
});

forms.addCompletenessTest();
