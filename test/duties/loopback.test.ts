import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { ROLES, type Role } from '@pumicehinge/duties';
import { systemClock } from '@pumicehinge/runtime';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RoleActionLog } from '../../src/simulation/role-action-log.js';
import { LoopbackCluster } from '../../src/simulation/loopback-cluster.js';

/** Shortest pause of a holder. It is longer than the time to live of the role lease. */
const PAUSE_MS = 5_500;
const DEADLINE_MS = 60_000;
const TASKS_PER_JOB = 4;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => systemClock.setTimer(ms, resolve));

async function waitUntil(description: string, condition: () => boolean): Promise<void> {
  const deadlineMs = systemClock.steadyMs() + DEADLINE_MS;
  while (!condition()) {
    assert.ok(systemClock.steadyMs() < deadlineMs, `condition not met within a minute: ${description}`);
    await sleep(20);
  }
}

// The test uses real processes, because only these can really be paused. It does not check how long anything takes.
test('real processes: no action of a replaced holder is accepted after holders were paused, killed and partitioned', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'duties-'));
  const generator = xoroshiro128plus(5);
  const cluster = new LoopbackCluster({
    controllers: 3,
    machineCapacity: 12,
    timing: { reportS: 1, leaseS: 10, cancelS: 30, bootS: 1 },
    folder,
    operatorSettings: { idleKeepS: 1, duties: { enabled: true } },
    random: () => uniformFloat64(generator),
  });
  const log = new RoleActionLog(cluster.state, cluster.cloud, () => systemClock.steadyMs());
  await cluster.start((service, handler) => log.wrap(service, handler));
  const { users } = cluster;
  const jobs: string[] = [];
  const submitTimer = setInterval(() => jobs.push(users.submit('array', TASKS_PER_JOB, 2)), 2_000);
  /**
   * Waits for a holder, as a role may be vacant for a moment, for example when its holder has just lost another role.
   */
  const waitForHolder = async (role: Role): Promise<string> => {
    await waitUntil(`a controller holds ${role}`, () => log.getHolder(role) !== undefined);
    const holder = log.getHolder(role);
    assert.ok(holder, `nobody holds ${role}`);
    return holder;
  };
  const waitForSuccessor = (role: Role, former: string): Promise<void> =>
    waitUntil(`a controller other than ${former} holds ${role}`, () => {
      const holder = log.getHolder(role);
      return holder !== undefined && holder !== former;
    });
  try {
    await waitUntil('every role has a holder', () => !log.getHolders().includes(undefined));
    await waitUntil('nodes are launched', () => cluster.cloud.machines.size >= 2);
    for (const role of ROLES) {
      const holder = await waitForHolder(role);
      cluster.pause(holder);
      // A holder that goes on before another controller has taken the vacant role may take it again itself.
      await Promise.all([waitForSuccessor(role, holder), sleep(PAUSE_MS)]);
      cluster.resume(holder);
    }
    const killedMember = await waitForHolder('rent');
    cluster.kill(killedMember);
    await waitForSuccessor('rent', killedMember);
    cluster.startController(killedMember);
    const partitionedMember = await waitForHolder('reclaim');
    cluster.isolatedFromState.add(partitionedMember);
    await waitForSuccessor('reclaim', partitionedMember);
    cluster.isolatedFromState.delete(partitionedMember);
    // A node that becomes unreachable must be reclaimed.
    const unreachableNode = [...cluster.cloud.machines.values()].find(({ worker }) => worker);
    unreachableNode!.worker!.isHanging = true;
    await waitUntil(
      'the unreachable node is reclaimed',
      () => !cluster.cloud.machines.has(unreachableNode!.name),
    );
    clearInterval(submitTimer);
    const isDone = (uid: string): boolean =>
      cluster.rules.jobs.get(uid)?.completedTasks.size === TASKS_PER_JOB;
    await waitUntil('all jobs are done', () => jobs.every(isDone));
    assert.deepEqual(log.summarizeStaleActions().acceptedActions, []);
    assert.deepEqual(cluster.rules.violations, []);
    assert.ok(log.actions.some(({ role, result }) => role === 'reclaim' && result === 'effect'));
  } finally {
    clearInterval(submitTimer);
    await cluster.stop();
    rmSync(folder, { recursive: true });
  }
});
