import assert from 'node:assert/strict';
import { test } from 'node:test';
import { generatePendingCommands } from '../../src/cluster/pending-commands.js';
import type { TaskStatus } from '../../src/cluster/worker-messages.js';
import {
  createClusterWithNode,
  listCommands,
  createHeartbeat,
  createRunningTask,
} from '../support/cluster-fixture.js';

test('a second attempt of an allocated task takes resources and is stopped, and the first one remains', () => {
  const { job, clusterState, reconciler, node } = createClusterWithNode();
  reconciler.apply(
    node,
    createHeartbeat(1, 1, [createRunningTask(0, 7), createRunningTask(0, 8)]),
    'heartbeat',
    0,
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
  attempt.endDirectStart('lost');
  reconciler.apply(node, createHeartbeat(1, 2), 'heartbeat', 10);
  assert.equal(attempt.state, 'planned');
  // The start command may still arrive, so the attempt stays allocated even though it is no longer wanted.
  attempt.requestStop(0);
  reconciler.apply(node, createHeartbeat(1, 3), 'heartbeat', 20);
  assert.equal(job.attemptByTask.size, 1);
  const commands = listCommands(node).map(({ kind }) => kind);
  assert.deepEqual(commands, ['start', 'stop']);
  reconciler.apply(node, createHeartbeat(2, 1), 'heartbeat', 30);
  assert.equal(job.attemptByTask.size, 0);
  assert.deepEqual(released, [attempt]);
});

// The stop commands of hundreds of saving tasks would fill each response, so that no other command reached the worker.
test('a task that saves its checkpoint is not told to stop again, unless it has to stop at once', () => {
  const { reconciler, node } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1, [createRunningTask(0, 7)]), 'heartbeat', 0);
  const attempt = [...node.attempts.values()][0]!;
  attempt.requestStop(30);
  assert.deepEqual(
    listCommands(node).map(({ kind }) => kind),
    ['stop'],
  );
  const saving: TaskStatus = { ...createRunningTask(0, 7), state: 'saving' };
  reconciler.apply(node, createHeartbeat(1, 2, [saving]), 'heartbeat', 10);
  assert.deepEqual(listCommands(node), []);
  attempt.requestStop(0);
  assert.deepEqual(
    listCommands(node).map(({ kind }) => kind),
    ['stop'],
  );
});

// Guards against a task that is preempted while it is unknown whether its direct start was executed, and then neither runs
// nor ends: the worker ignored the stop of an attempt that it did not know.
test('an attempt that must stop is started and stopped together while its lost start may still arrive', () => {
  const { job, clusterState, reconciler, node, exits } = createClusterWithNode();
  reconciler.apply(node, createHeartbeat(1, 1), 'heartbeat', 0);
  const attempt = clusterState.planAttempt({ job, taskIndex: 0, number: 7, node }, 0);
  attempt.markStartSent(1, 0);
  attempt.endDirectStart('lost');
  attempt.requestStop(0);
  reconciler.apply(node, createHeartbeat(1, 2), 'heartbeat', 10);
  const kinds = (mayStart: boolean): string[] =>
    [...generatePendingCommands(node, () => mayStart)].map(({ command }) => command.kind);
  assert.deepEqual(kinds(true), ['start', 'stop']);
  // No task of an ended job may start, so only a new term can end such an attempt.
  assert.deepEqual(kinds(false), ['stop']);
  const stopped: TaskStatus = { ...createRunningTask(0, 7), state: 'exited', exitCause: 'stopped' };
  reconciler.apply(node, createHeartbeat(1, 3, [stopped]), 'heartbeat', 20);
  assert.deepEqual(exits, ['0 stopped']);
  assert.equal(job.attemptByTask.size, 0);
  // The worker has to keep the attempt, because the lost start may still arrive.
  assert.deepEqual(kinds(true), []);
});
