/**
 * Faults of the behaviour trace. Each one is scheduled at given seconds of simulated time, and so is its end if it
 * lasts.
 */
import type { SimulatedDeployment } from '../../src/simulation/simulated-deployment.js';
import type { SimulatedJob } from '../../src/simulation/rule-checker.js';

/** Schedules a fault in a simulated deployment. Called once, before the clock of the deployment runs. */
export type Fault = (deployment: SimulatedDeployment) => void;

const getLeader = (deployment: SimulatedDeployment): string => deployment.leader ?? deployment.members[0]!;

const otherMembers = (deployment: SimulatedDeployment, member: string): string[] =>
  deployment.members.filter((each) => each !== member);

const listFirstRunningHosts = (deployment: SimulatedDeployment, count: number): string[] =>
  [...deployment.cloud.machines.values()]
    .filter((host) => host.worker)
    .slice(0, count)
    .map((host) => host.name);

/** Combines several faults into one. */
export const combineFaults =
  (...faults: Fault[]): Fault =>
  (deployment) => {
    for (const fault of faults) fault(deployment);
  };

/** Returns `count` evenly spaced seconds from `fromS` on and before `toS`. */
export const spaceEvenly = (fromS: number, toS: number, count: number): number[] =>
  Array.from({ length: count }, (_, i) => fromS + ((toS - fromS) * i) / count);

/** A given controller crashes and restarts after a delay. */
export const memberCrash =
  (atS: number, member: string, restartDelayMs: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => deployment.crashController(member, restartDelayMs));

/** The controller that leads at that time crashes and restarts after a delay. */
export const leaderCrash =
  (atS: number, restartDelayMs: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => deployment.crashController(getLeader(deployment), restartDelayMs));

/** All controllers crash. Each restarts `staggerMs` later than the one before. */
export const allMembersCrash =
  (atS: number, restartDelayMs: number, staggerMs = 0): Fault =>
  (deployment) =>
    deployment.at(atS, () =>
      deployment.members.forEach((member, i) =>
        deployment.crashController(member, restartDelayMs + i * staggerMs),
      ),
    );

/** The state service refuses all requests. */
export const storeOutage =
  (fromS: number, toS: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () => deployment.state.refusedCallers.add('*'));
    deployment.at(toS, () => deployment.state.endOutage());
  };

/** The state service refuses only the leader, until the end of the next store outage. */
export const storeRefusesLeader =
  (atS: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => deployment.state.refusedCallers.add(getLeader(deployment)));

/** The state service refuses only one controller. */
export const storeRefusesMember =
  (fromS: number, toS: number, member: string): Fault =>
  (deployment) => {
    deployment.at(fromS, () => deployment.state.refusedCallers.add(member));
    deployment.at(toS, () => deployment.state.refusedCallers.delete(member));
  };

/** A share of the transactions gets no answer and is executed seconds later. */
export const delayedTransactions =
  (fromS: number, toS: number, share: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () => (deployment.state.delayedTransactionShare = share));
    deployment.at(toS, () => (deployment.state.delayedTransactionShare = 0));
  };

/** The state service handles each request after a random delay. */
export const slowStore =
  (fromS: number, toS: number, minimumMs: number, spreadMs: number): Fault =>
  (deployment) => {
    deployment.at(
      fromS,
      () => (deployment.state.drawDelayMs = () => minimumMs + deployment.random() * spreadMs),
    );
    deployment.at(toS, () => (deployment.state.drawDelayMs = undefined));
  };

/** The leader is partitioned from the state service and the other controllers, but not from workers and users. */
export const leaderIsolated =
  (fromS: number, toS: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () => {
      const leader = getLeader(deployment);
      for (const other of ['state', ...otherMembers(deployment, leader)])
        deployment.network.partition(leader, other);
    });
    deployment.at(toS, () => deployment.network.heal());
  };

/** A controller is partitioned from some other controllers. */
export const memberPartition =
  (fromS: number, toS: number, member: string, others: string[]): Fault =>
  (deployment) => {
    deployment.at(fromS, () => others.forEach((other) => deployment.network.partition(member, other)));
    deployment.at(toS, () => deployment.network.heal());
  };

/** The zones are partitioned from each other. */
export const zonePartition =
  (fromS: number, toS: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () => deployment.network.partitionZones());
    deployment.at(toS, () => deployment.network.heal());
  };

/** The first running machines are partitioned from all controllers. */
export const machinePartition =
  (fromS: number, toS: number, count: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () => {
      for (const host of listFirstRunningHosts(deployment, count))
        for (const member of deployment.members) deployment.network.partition(host, member);
    });
    deployment.at(toS, () => deployment.network.heal());
  };

/** The first running machines receive neither responses nor commands, while their own messages arrive. */
export const machinesLoseInbound =
  (fromS: number, toS: number, count: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () =>
      listFirstRunningHosts(deployment, count).forEach((host) => deployment.network.dropInbound(host)),
    );
    deployment.at(toS, () => deployment.network.heal());
  };

/** The requests of the first running machines are lost, while commands reach the machines and are answered. */
export const machinesLoseOwnRequests =
  (fromS: number, toS: number, count: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () =>
      listFirstRunningHosts(deployment, count).forEach((host) => deployment.network.dropOwnRequests(host)),
    );
    deployment.at(toS, () => deployment.network.heal());
  };

/** The first running machines hang and later run on. */
export const machinesHang =
  (fromS: number, toS: number, count: number): Fault =>
  (deployment) =>
    deployment.at(fromS, () => {
      const workers = listFirstRunningHosts(deployment, count).map(
        (host) => deployment.cloud.machines.get(host)!.worker!,
      );
      for (const worker of workers) worker.isHanging = true;
      deployment.at(toS, () => {
        for (const worker of workers) worker.isHanging = false;
      });
    });

/** The first running machines are terminated, with everything that runs on them. */
export const machinesLost =
  (atS: number, count: number): Fault =>
  (deployment) =>
    deployment.at(atS, () =>
      listFirstRunningHosts(deployment, count).forEach((host) => deployment.cloud.terminate(host)),
    );

/** The cloud reclaims all spot machines. */
export const spotReclaim =
  (atS: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => {
      const spot = [...deployment.cloud.machines.values()].filter((host) => host.spot);
      for (const { name } of spot) deployment.cloud.terminate(name);
    });

/** The first running machines restart without delay, and the counters of their workers are reset. */
export const machinesRestart =
  (atS: number, count: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => {
      for (const host of listFirstRunningHosts(deployment, count))
        deployment.cloud.machines.get(host)?.worker?.restart();
    });

/** From then on, every request of the machines that exist at that time arrives a second time, late. */
export const lateDuplicates =
  (atS: number, minimumMs: number, spreadMs: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => {
      for (const host of deployment.cloud.machines.keys())
        deployment.network.duplicateRequests(host, () => minimumMs + deployment.random() * spreadMs);
    });

/** The cloud refuses all requests. */
export const cloudOutage =
  (fromS: number, toS: number): Fault =>
  (deployment) => {
    deployment.at(fromS, () => (deployment.cloud.isDown = true));
    deployment.at(toS, () => (deployment.cloud.isDown = false));
  };

/** The cloud has only `capacity` machines. */
export const cloudShortage =
  (fromS: number, toS: number, capacity: number): Fault =>
  (deployment) => {
    const fullCapacity = deployment.cloud.capacity;
    deployment.at(fromS, () => (deployment.cloud.capacity = capacity));
    deployment.at(toS, () => (deployment.cloud.capacity = fullCapacity));
  };

/** The controller that leads at that time pauses for a while. */
export const leaderPaused =
  (atS: number, durationMs: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => deployment.pauseController(getLeader(deployment), durationMs));

/** The controller that holds a role at that time pauses for a while. */
export const roleHolderPaused =
  (atS: number, role: string, durationMs: number): Fault =>
  (deployment) =>
    deployment.at(atS, () => {
      const lease = deployment.state.getValue(`ph/duty-holder/${role}`) as { member: string } | undefined;
      deployment.pauseController(lease?.member ?? deployment.members[0]!, durationMs);
    });

/** All controllers except the leader send only what a former version sends. */
export const peersOfFormerVersion =
  (atS: number): Fault =>
  (deployment) =>
    deployment.at(atS, () =>
      otherMembers(deployment, getLeader(deployment)).forEach((member) =>
        deployment.peers.formerVersionMembers.add(member),
      ),
    );

/** Users submit long jobs and cancel each at one of the given seconds. */
export const cancellations =
  (times: number[], fields: Partial<SimulatedJob> = {}): Fault =>
  (deployment) =>
    times.forEach((atS, i) =>
      deployment.at(4 + i * 0.4, () => {
        const job = deployment.submit({ tasks: 2, cpus: 1, runS: 300, ...fields });
        deployment.at(atS, () => void deployment.cancel(job.uid));
      }),
    );

/** Users repeat submissions, cancel finished jobs, poll at all controllers, and send malformed requests. */
export const irregularRequests =
  (fromS: number, count: number): Fault =>
  (deployment) => {
    for (let i = 0; i < count; i++)
      deployment.at(fromS + i * 3, () => {
        for (const tracked of [...deployment.rules.jobs.values()].slice(0, 8)) {
          if (!tracked.isAccepted) continue;
          if (tracked.reportedPhase === 'open') void deployment.resubmit(tracked.job);
          else if (tracked.reportedPhase === 'done') void deployment.cancel(tracked.job.uid);
          for (const member of deployment.members)
            void deployment.sendRequest(member, 'GET', `/submissions/${tracked.job.uid}`);
        }
        const member = deployment.members[i % deployment.members.length]!;
        void deployment.sendRequest(member, 'POST', '/submissions', { uid: 'job-900001', crew: 'red' });
        void deployment.sendRequest(
          member,
          'POST',
          '/submissions',
          deployment.encodeSubmission({ uid: 'job-900002', team: 'green' }),
        );
        void deployment.sendRequest(member, 'GET', '/submissions/job-900009');
        void deployment.sendRequest(member, 'GET', '/healthz');
        void deployment.sendRequest(member, 'PUT', '/nowhere');
        void deployment.sendRequest(member, 'POST', '/v1/report', { hearth: 7 });
      });
  };
