/** Workloads of the behaviour trace. */
import type { SimulatedDeployment } from '../../src/simulation/simulated-deployment.js';

/** Schedules the submissions of users. Called once, before the clock of the deployment runs. */
export type Workload = (deployment: SimulatedDeployment) => void;

/**
 * A service and arrays of different sizes. Some have a deadline, some may run on spot machines, and one is cancelled.
 */
export const mixedWorkload: Workload = (deployment) => {
  deployment.at(2, () => deployment.submit({ kind: 'service', team: 'red', tasks: 3, zoneSpread: true }));
  for (let i = 0; i < 14; i++)
    deployment.at(4 + i * 8, () =>
      deployment.submit({
        team: i % 3 === 0 ? 'red' : 'blue',
        tasks: 1 + ((i * 3) % 7),
        runS: 8 + ((i * 7) % 30),
        spot: i % 2 === 0,
        deadlineS: i % 3 ? 60 : null,
      }),
    );
  deployment.at(20, () => deployment.submit({ team: 'red', tasks: 6, runS: 60 }, 15));
};

/** Many short jobs of one task each, two per second. */
export const shortJobWorkload: Workload = (deployment) => {
  for (let i = 0; i < 120; i++)
    deployment.at(5 + i * 0.5, () =>
      deployment.submit({ tasks: 1, cpus: 1, runS: 4 }, i % 4 === 0 ? 6 : undefined),
    );
};

/**
 * The mixed workload, and chains of dependent jobs with a fan-out and a fan-in. The first job of one chain is
 * cancelled.
 */
export const dependentJobWorkload: Workload = (deployment) => {
  mixedWorkload(deployment);
  for (let chain = 0; chain < 4; chain++)
    deployment.at(6 + chain * 10, () => {
      const first = deployment.submit({ tasks: 3, runS: 12 }, chain === 3 ? 8 : undefined);
      const second = deployment.submit({ tasks: 4, runS: 10, dependencies: [first.uid] });
      const third = deployment.submit({ tasks: 2, runS: 8, dependencies: [first.uid] });
      deployment.submit({ tasks: 1, runS: 5, deadlineS: 90, dependencies: [second.uid, third.uid] });
    });
};

/** The mixed workload, jobs bound to a given zone or to any single zone, and services spread over zones. */
export const zonedJobWorkload: Workload = (deployment) => {
  mixedWorkload(deployment);
  deployment.at(10, () => deployment.submit({ tasks: 6, runS: 40, singleZone: true }));
  deployment.at(12, () => deployment.submit({ tasks: 6, runS: 40, zone: 'west' }));
  deployment.at(14, () => deployment.submit({ kind: 'service', team: 'red', tasks: 2, singleZone: true }));
  deployment.at(16, () =>
    deployment.submit({ kind: 'service', team: 'blue', tasks: 5, zoneSpread: true, zone: null }),
  );
};

/** The mixed workload, and more work than the teams' limits and the machines allow, with and without deadlines. */
export const overloadWorkload: Workload = (deployment) => {
  mixedWorkload(deployment);
  for (let i = 0; i < 6; i++)
    deployment.at(8 + i * 5, () => deployment.submit({ tasks: 14, runS: 15, deadlineS: i % 2 ? 50 : null }));
  for (let i = 0; i < 4; i++)
    deployment.at(22 + i * 10, () => deployment.submit({ kind: 'service', tasks: 3 }));
};

/** The mixed workload, and long jobs that keep the machines busy. */
export const longJobWorkload: Workload = (deployment) => {
  mixedWorkload(deployment);
  deployment.at(6, () => deployment.submit({ tasks: 16, cpus: 1, runS: 90 }));
  deployment.at(8, () => deployment.submit({ team: 'red', tasks: 12, cpus: 2, runS: 25 }));
};

/** Large arrays and services, for hundreds of machines. */
export const largeArrayWorkload: Workload = (deployment) => {
  for (let i = 0; i < 4; i++)
    deployment.at(2, () => deployment.submit({ kind: 'service', team: 'red', tasks: 9, zoneSpread: true }));
  for (const [atS, tasks] of [
    [5, 420],
    [20, 300],
    [35, 200],
  ] as const)
    deployment.at(atS, () => deployment.submit({ tasks, runS: 20, deadlineS: 80, spot: atS !== 20 }));
};
