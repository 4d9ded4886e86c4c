import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/cluster/worker-messages.js';
import {
  createClusterWithNode,
  listCommands,
  createHeartbeat,
  createRunningTask,
} from '../support/cluster-fixture.js';

test('a second attempt of an allocated task takes resources and is stopped, and the first one remains', () => {
  const { job, clusterState, reconciler, node, logLines } = createClusterWithNode();
  reconciler.apply(
    node,
    createHeartbeat(1, 1, [createRunningTask(0, 7), createRunningTask(0, 8)]),
    'heartbeat',
    0,
  );
  const logged = logLines.map((line) => JSON.parse(line) as Record<string, unknown>);
  assert.deepEqual(
    logged.map(({ msg, attempt, wantedAttempt }) => [msg, attempt, wantedAttempt]),
    [['unwanted attempt listed by its worker', 8, 7]],
  );
  assert.equal(job.attemptByTask.get(0)!.number, 7);
  assert.equal(clusterState.getTeamUsage('red').cpus, 4);
  const commands = listCommands(node).map(({ kind, attemptNumber }) => `${kind} ${attemptNumber}`);
  assert.deepEqual(commands, ['stop 8']);
});

test('the exit of a completed task is acknowledged only once the completion is stored', () => {
  const { job, reconciler, node, exits } = createClusterWithNode();
  const completed: TaskStatus = { ...createRunningTask(0, 7), state: 'exited', exitCause: 'completed' };
  reconciler.apply(node, createHeartbeat(1, 1, [completed]), 'heartbeat', 0);
  assert.deepEqual(exits, ['0 completed']);
  assert.deepEqual(listCommands(node), []);
  job.completeTask(0);
  job.persistence.completeWrite(job.beginWrite(1), 2);
  const commands = listCommands(node).map(({ kind }) => kind);
  assert.deepEqual(commands, ['acknowledge']);
});

test('a start is withdrawn only when it certainly was not and will not be executed', () => {
  const { job, clusterState, reconciler, node, released } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1), 'heartbeat', 0);
  const attempt = clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  attempt.markStartSent(1, 0);
  attempt.requestStop({ gracePeriodS: 0, reason: 'preempted' });
  // The response to a direct call can overtake the start, so the attempt stays allocated.
  reconciler.apply(node, createHeartbeat(1, 2), 'commandResponse', 10);
  assert.equal(attempt.state, 'sent');
  assert.equal(job.attemptByTask.size, 1);
  const commands = listCommands(node).map(({ kind }) => kind);
  assert.deepEqual(commands, ['stop']);
  reconciler.apply(node, createHeartbeat(1, 3), 'heartbeat', 20);
  assert.equal(job.attemptByTask.size, 0);
  assert.deepEqual(released, [attempt]);
  assert.deepEqual(listCommands(node), []);
});

// The stop commands of hundreds of saving tasks would fill each response, so that no other command reached the worker.
test('a task that saves its checkpoint is not told to stop again, unless it has to stop at once', () => {
  const { reconciler, node } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1, [createRunningTask(0, 7)]), 'heartbeat', 0);
  const attempt = [...node.attempts.values()][0]!;
  attempt.requestStop({ gracePeriodS: 30, reason: 'preempted' });
  assert.deepEqual(
    listCommands(node).map(({ kind }) => kind),
    ['stop'],
  );
  const saving: TaskStatus = { ...createRunningTask(0, 7), state: 'saving' };
  reconciler.apply(node, createHeartbeat(1, 2, [saving]), 'heartbeat', 10);
  assert.deepEqual(listCommands(node), []);
  attempt.requestStop({ gracePeriodS: 0, reason: 'preempted' });
  assert.deepEqual(
    listCommands(node).map(({ kind }) => kind),
    ['stop'],
  );
});

// Guards against a task that is preempted while its start is on its way, and then neither runs nor ends.
test('an attempt that must stop while its start is on its way is stopped until it has exited', () => {
  const { job, clusterState, reconciler, node, exits } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1), 'heartbeat', 0);
  const attempt = clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  attempt.markStartSent(1, 0);
  attempt.requestStop({ gracePeriodS: 0, reason: 'preempted' });
  const listKinds = (): string[] => listCommands(node).map(({ kind }) => kind);
  assert.deepEqual(listKinds(), ['stop']);
  reconciler.apply(node, createHeartbeat(1, 2, [createRunningTask(0, 7)]), 'heartbeat', 10);
  assert.deepEqual(listKinds(), ['stop']);
  assert.equal(job.attemptByTask.size, 1);
  const stopped: TaskStatus = { ...createRunningTask(0, 7), state: 'exited', exitCause: 'stopped' };
  reconciler.apply(node, createHeartbeat(1, 3, [stopped]), 'heartbeat', 20);
  assert.deepEqual(exits, ['0 stopped']);
  assert.equal(job.attemptByTask.size, 0);
  // No start of the attempt can arrive any more, so the worker may forget it.
  assert.deepEqual(listKinds(), ['acknowledge']);
});
