/**
 * What may happen between an attempt's start and a late copy of the call that carried the start: how the attempt ended, and
 * what lies between. The copies come while the tasks are elsewhere, queued, cancelled or done.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../src/simulation/simulated-deployment.js';
import {
  NO_OBSERVER,
  type ObservedRequest,
  type TrafficObserver,
} from '../src/simulation/traffic-observer.js';

/** Times from the answer to a request until each of its copies arrives, in milliseconds. */
const COPY_DELAYS_MS = [1_500, 5_000, 9_000, 20_000, 45_000];
/** Second at which the jobs are submitted whose attempts end. Machines are up by then. */
const SUBMISSION_S = 20;
/** Second of the event that lies between the ends of the attempts and most of the copies. */
const EVENT_S = 25;
const END_S = 110;
const REPORT_TARGET = '/v1/report';

/** Collects the causes with which tasks exited according to reports, and the commands in direct calls. */
class CommandObserver implements TrafficObserver {
  readonly exitCauses = new Set<string>();
  readonly directCommands = new Map<string, number>();
  readonly callFailed = NO_OBSERVER.callFailed;
  readonly peerMessageSent = NO_OBSERVER.peerMessageSent;
  readonly requestArrived = NO_OBSERVER.requestArrived;
  readonly responseArrived = NO_OBSERVER.responseArrived;

  requestSent({ target, body }: ObservedRequest): void {
    if (target === REPORT_TARGET) {
      const { pieces } = JSON.parse(body ?? '') as { pieces: { cause?: string }[] };
      for (const { cause } of pieces) if (cause !== undefined) this.exitCauses.add(cause);
    } else if (target === '/orders') {
      const { orders } = JSON.parse(body ?? '') as { orders: { verb: string }[] };
      for (const { verb } of orders) this.directCommands.set(verb, (this.directCommands.get(verb) ?? 0) + 1);
    }
  }
}

type Inject = (deployment: SimulatedDeployment) => void;

const listWorkers = (deployment: SimulatedDeployment) =>
  [...deployment.cloud.machines.values()].flatMap(({ worker }) => worker ?? []);

/** Lets every start fail or be refused for a moment after the submission. */
const failForAMoment =
  (change: Partial<SimulatedDeployment['taskFaults']>): Inject =>
  (deployment) => {
    deployment.at(SUBMISSION_S, () => Object.assign(deployment.taskFaults, change));
    deployment.at(SUBMISSION_S + 3, () =>
      Object.assign(deployment.taskFaults, { failedShare: 0, refusedShare: 0 }),
    );
  };

/** How the first attempts end, with the cause that the workers report. `undefined` if they report none. */
const ENDS: [name: string, cause: string | undefined, inject: Inject][] = [
  ['done', 'done', () => undefined],
  ['error', 'error', failForAMoment({ failedShare: 1 })],
  [
    'stopped for another job, and moved',
    'stopped',
    (deployment) => {
      deployment.at(SUBMISSION_S + 2.5, () =>
        deployment.submit({ kind: 'service', team: 'red', tasks: 5, cpus: 4 }, 20),
      );
    },
  ],
  ['refused: full', 'full', failForAMoment({ refusedShare: 1, refusalCause: 'full' })],
  ['refused: in_use', 'in_use', failForAMoment({ refusedShare: 1, refusalCause: 'in_use' })],
  ['refused: no_such', 'no_such', failForAMoment({ refusedShare: 1, refusalCause: 'no_such' })],
  [
    'cancelled',
    'stopped',
    (deployment) =>
      deployment.at(SUBMISSION_S + 3, () => {
        for (const [uid, { reportedPhase, job }] of deployment.rules.jobs)
          if (reportedPhase === 'open' && job.kind === 'array') void deployment.cancel(uid);
      }),
  ],
  [
    'never started',
    undefined,
    (deployment) => {
      deployment.at(SUBMISSION_S - 0.2, () => {
        for (const { machine } of listWorkers(deployment)) deployment.network.dropInbound(machine.name);
      });
      deployment.at(SUBMISSION_S + 3, () => deployment.network.heal());
    },
  ],
];

/** What lies between the end of an attempt and a copy. */
const EVENTS: [name: string, inject: Inject][] = [
  ['nothing', () => undefined],
  [
    'a leader that is back within a second',
    (deployment) => deployment.crashController(deployment.leader ?? deployment.members[0]!, 400),
  ],
  [
    'another leader',
    (deployment) => deployment.crashController(deployment.leader ?? deployment.members[0]!, 9_000),
  ],
  [
    'machines that are back within a second',
    (deployment) => {
      for (const worker of listWorkers(deployment)) worker.restart();
    },
  ],
  [
    'expired leases',
    (deployment) => {
      for (const { machine } of listWorkers(deployment)) deployment.network.dropOwnRequests(machine.name);
      deployment.clock.setTimer(18_000, () => deployment.network.heal());
    },
  ],
];

/** Plays one cell of the table. Copies of all calls to workers, the state service and the cloud arrive. */
async function playCell(injectEnd: Inject, injectEvent: Inject) {
  const observer = new CommandObserver();
  const deployment = new SimulatedDeployment(1, {
    ...SMALL_DEPLOYMENT,
    machineCapacity: 6,
    machineZones: ['east'],
    fetchS: 0.05,
    reportS: 2.5,
    createObserver: () => observer,
  });
  deployment.network.copyExecutedRequests({
    select: ({ from, target }) => deployment.members.includes(from) && !target.startsWith('/follow'),
    drawDelaysMs: () => COPY_DELAYS_MS,
  });
  // Machines are up before the jobs come whose starts are copied.
  deployment.at(1, () => deployment.submit({ tasks: 6, cpus: 4, runS: 6 }));
  const jobs: ReturnType<SimulatedDeployment['submit']>[] = [];
  deployment.at(SUBMISSION_S, () => {
    jobs.push(deployment.submit({ tasks: 3, cpus: 2, runS: 40 }));
    jobs.push(deployment.submit({ tasks: 3, cpus: 2, runS: 40 }, EVENT_S + 4 - SUBMISSION_S));
    jobs.push(deployment.submit({ tasks: 2, cpus: 2, runS: 4 }));
  });
  injectEnd(deployment);
  deployment.at(EVENT_S, () => injectEvent(deployment));
  await deployment.clock.runUntil(END_S * 1_000);
  return { deployment, observer, jobs };
}

for (const [endName, cause, injectEnd] of ENDS)
  for (const [eventName, injectEvent] of EVENTS)
    test(`no late copy starts an attempt again: ${endName}, then ${eventName}`, async () => {
      const { deployment, observer, jobs } = await playCell(injectEnd, injectEvent);
      const { rules, network } = deployment;
      if (cause !== undefined) assert.ok(observer.exitCauses.has(cause), `no attempt ended with ${cause}`);
      assert.ok(network.deliveredCopyCount > 100, `only ${network.deliveredCopyCount} copies`);
      assert.equal(jobs.length, 3);
      assert.deepEqual(rules.violations, []);
      assert.deepEqual(rules.startsAfterCancellation, []);
      assert.equal(observer.directCommands.get('run') ?? 0, 0, 'direct calls carried starts');
      assert.ok(
        jobs.every((job) => deployment.isFinished(job)),
        'a job is neither done nor cancelled',
      );
    });
