/**
 * Scenarios of the behaviour trace. They are fixed: to change one, first record its digests with the unchanged
 * sources.
 */
import type { DeploymentOptions } from '../../src/simulation/simulated-deployment.js';
import * as fault from './faults.js';
import { spaceEvenly } from './faults.js';
import * as workload from './workloads.js';

/** A workload, and the faults that occur while it runs. */
export interface Scenario {
  readonly name: string;
  readonly workload: workload.Workload;
  readonly faults: readonly fault.Fault[];
  readonly options?: Partial<DeploymentOptions>;
  /** Duration in simulated seconds. Defaults to DEFAULT_SECONDS. */
  readonly seconds?: number;
}

/** Duration in simulated seconds of a scenario that sets none. */
export const DEFAULT_SECONDS = 160;

const ALL_MEMBERS = ['c0', 'c1', 'c2'];
const ROLES_ENABLED: Partial<DeploymentOptions> = { roleMembers: ALL_MEMBERS };
const HUNDREDS_OF_MACHINES: Partial<DeploymentOptions> = {
  controllers: 7,
  machineCapacity: 320,
  cpuLimitScale: 60,
};

const CONTROLLER_SCENARIOS: Scenario[] = [
  { name: 'no fault', workload: workload.mixedWorkload, faults: [] },
  {
    name: 'controllers crash one after the other',
    workload: workload.mixedWorkload,
    faults: ALL_MEMBERS.map((member, i) => fault.memberCrash(40 + i * 15, member, 4000)),
  },
  {
    name: 'all controllers crash, and again while they elect',
    workload: workload.mixedWorkload,
    faults: [
      fault.allMembersCrash(40, 300),
      fault.allMembersCrash(46.5, 300),
      fault.allMembersCrash(48.2, 100),
    ],
  },
  {
    name: 'controllers restart within a fraction of a second, in elections too',
    workload: workload.mixedWorkload,
    faults: [
      ...Array.from({ length: 12 }, (_, i) =>
        fault.memberCrash(40 + i * 3.1, ALL_MEMBERS[i % 3]!, 50 + i * 23),
      ),
      fault.allMembersCrash(90, 100),
      fault.allMembersCrash(91.7, 100),
      fault.allMembersCrash(93.5, 100),
    ],
  },
  {
    name: 'ten leaders in two minutes, also inside an outage',
    workload: workload.mixedWorkload,
    faults: [
      fault.cancellations(spaceEvenly(36, 120, 10)),
      ...Array.from({ length: 10 }, (_, i) => fault.leaderCrash(35 + i * 9, 400 + (i % 3) * 1500)),
      fault.storeOutage(84, 102),
    ],
    seconds: 200,
  },
  {
    name: 'leaders stand still and go on',
    workload: workload.mixedWorkload,
    faults: [3000, 6000, 20_000].map((ms, i) => fault.leaderPaused(35 + i * 25, ms)),
  },
  {
    name: 'a paused leader meets an outage and an election',
    workload: workload.longJobWorkload,
    faults: [
      fault.allMembersCrash(50, 100),
      fault.leaderPaused(54, 3500),
      fault.storeOutage(70, 82),
      fault.leaderPaused(74, 4000),
    ],
  },
  {
    name: 'all controllers away for longer than a lease',
    workload: workload.mixedWorkload,
    faults: [fault.cancellations([38, 39, 62, 64]), fault.allMembersCrash(40, 20_000)],
  },
  {
    name: 'leadership moves to a controller among the machines',
    workload: workload.mixedWorkload,
    faults: [fault.memberCrash(70, 'c1', 1500)],
    options: { machineZones: ['west'] },
  },
  {
    name: 'seven controllers, three crash together',
    workload: workload.longJobWorkload,
    faults: ALL_MEMBERS.map((member) => fault.memberCrash(45, member, 5000)),
    options: { controllers: 7 },
  },
  {
    name: 'a single controller crashes',
    workload: workload.mixedWorkload,
    faults: [fault.memberCrash(40, 'c0', 2000), fault.memberCrash(70, 'c0', 20_000)],
    options: { controllers: 1 },
  },
];

const STORE_SCENARIOS: Scenario[] = [
  {
    name: 'store outage longer than a lease, then a crash',
    workload: workload.mixedWorkload,
    faults: [fault.storeOutage(50, 75), fault.memberCrash(64, 'c1', 4000)],
  },
  {
    name: 'the store refuses one controller after the other',
    workload: workload.mixedWorkload,
    faults: ALL_MEMBERS.map((member, i) => fault.storeRefusesMember(40 + i * 30, 55 + i * 30, member)),
  },
  {
    name: 'the store refuses the leader, then everybody, with cancellations between',
    workload: workload.mixedWorkload,
    faults: [
      fault.cancellations(spaceEvenly(50.1, 52, 12)),
      fault.storeRefusesLeader(50),
      fault.storeOutage(52, 104),
    ],
  },
  {
    name: 'the same with peers of a former version',
    workload: workload.longJobWorkload,
    faults: [
      fault.cancellations(spaceEvenly(50.1, 51, 8)),
      fault.peersOfFormerVersion(50),
      fault.storeRefusesLeader(50),
      fault.storeOutage(51, 110),
    ],
  },
  {
    name: 'late transactions, cancellations and crashes',
    workload: workload.mixedWorkload,
    faults: [
      fault.delayedTransactions(15, 85, 0.3),
      fault.cancellations(spaceEvenly(20, 80, 8)),
      fault.leaderCrash(45, 300),
      fault.leaderCrash(70, 4000),
    ],
  },
  {
    name: 'nearly all transactions late',
    workload: workload.mixedWorkload,
    faults: [
      fault.delayedTransactions(25, 45, 0.8),
      fault.allMembersCrash(30, 200),
      fault.machinesLost(33, 3),
    ],
  },
  {
    name: 'slow store, then refusals',
    workload: workload.mixedWorkload,
    faults: [
      fault.cancellations(spaceEvenly(38, 62, 12)),
      fault.slowStore(36, 55, 200, 1200),
      fault.storeRefusesLeader(55),
      fault.storeOutage(57, 97),
    ],
  },
  {
    name: 'announced lower limits',
    workload: workload.dependentJobWorkload,
    faults: [fault.leaderCrash(50, 1000)],
    options: { announcedLimits: { valueBytes: 2048, maxTransactionOperations: 6 } },
  },
  {
    name: 'controllers cut from each other in an outage',
    workload: workload.mixedWorkload,
    faults: [fault.storeOutage(45, 58), fault.memberPartition(50, 90, 'c0', ['c1', 'c2'])],
  },
];

const NETWORK_SCENARIOS: Scenario[] = [
  {
    name: 'zones cut twice, with a cancellation and a crash',
    workload: workload.mixedWorkload,
    faults: [
      fault.zonePartition(45, 85),
      fault.cancellations([52, 60]),
      fault.memberCrash(70, 'c2', 3000),
      fault.zonePartition(110, 140),
    ],
  },
  {
    name: 'a zone cut for longer than a lease',
    workload: workload.longJobWorkload,
    faults: [
      fault.cancellations(spaceEvenly(42, 70, 8)),
      fault.zonePartition(41, 80),
      fault.memberCrash(55, 'c1', 1000),
    ],
  },
  {
    name: 'the leader keeps only its workers and users',
    workload: workload.longJobWorkload,
    faults: [fault.cancellations(spaceEvenly(41, 75, 10)), fault.leaderIsolated(40, 80)],
  },
  {
    name: 'machines cut from all controllers',
    workload: workload.mixedWorkload,
    faults: [fault.machinePartition(45, 80, 4)],
  },
  {
    name: 'deaf machines, a crash and a cancellation',
    workload: workload.mixedWorkload,
    faults: [
      fault.machinesLoseInbound(45, 90, 4),
      fault.cancellations([55]),
      fault.memberCrash(56, 'c1', 3000),
      fault.memberCrash(80, 'c0', 300),
    ],
  },
  {
    name: 'deaf machines while the cloud is out',
    workload: workload.mixedWorkload,
    faults: [
      fault.cloudOutage(45, 85),
      fault.machinesLoseInbound(46, 95, 5),
      fault.memberCrash(60, 'c2', 2000),
    ],
  },
  {
    name: 'silent machines that hear commands',
    workload: workload.longJobWorkload,
    faults: [
      fault.cancellations(spaceEvenly(44, 60, 8)),
      fault.machinesLoseOwnRequests(40, 90, 6),
      fault.leaderCrash(52, 2000),
    ],
  },
  {
    name: 'a leader ends while machines are cut off or deaf',
    workload: workload.longJobWorkload,
    faults: [
      fault.cancellations([46, 47, 60], { runS: 120 }),
      fault.machinePartition(40, 75, 4),
      fault.machinesLoseInbound(42, 75, 8),
      fault.leaderCrash(44, 5000),
    ],
  },
  {
    name: 'late copies over crashes, an outage and a cut',
    workload: workload.mixedWorkload,
    faults: [
      ...[8, 20, 40, 60, 80].map((atS) => fault.lateDuplicates(atS, 2000, 40_000)),
      ...ALL_MEMBERS.map((member, i) => fault.memberCrash(50 + i * 12, member, 200)),
      fault.storeOutage(90, 100),
      fault.zonePartition(110, 125),
    ],
  },
];

const MACHINE_SCENARIOS: Scenario[] = [
  {
    name: 'machines hang within and beyond their lease',
    workload: workload.mixedWorkload,
    faults: [fault.machinesHang(40, 48, 2), fault.machinesHang(80, 97, 2)],
  },
  {
    name: 'cancelled while machines hang and the leader is refused',
    workload: workload.mixedWorkload,
    faults: [
      fault.cancellations(spaceEvenly(50, 50.2, 10)),
      fault.storeRefusesLeader(50),
      fault.machinesHang(50.1, 59, 6),
      fault.storeOutage(51, 95),
    ],
  },
  {
    name: 'machines restart with new counters, late copies',
    workload: workload.mixedWorkload,
    faults: [
      fault.lateDuplicates(10, 2000, 20_000),
      ...[45, 60, 75].map((atS) => fault.machinesRestart(atS, 2)),
      fault.memberCrash(62, 'c0', 200),
    ],
  },
  {
    name: 'machines die while the cloud is out',
    workload: workload.mixedWorkload,
    faults: [fault.cloudOutage(45, 80), ...[46, 50, 70].map((atS) => fault.machinesLost(atS, 1))],
  },
  {
    name: 'zoned jobs lose machines',
    workload: workload.zonedJobWorkload,
    faults: [...[30, 42, 54].map((atS) => fault.machinesLost(atS, 3)), fault.leaderCrash(42.5, 1000)],
  },
  {
    name: 'spot waves',
    workload: workload.mixedWorkload,
    faults: [40, 65, 90].map((atS) => fault.spotReclaim(atS)),
  },
  {
    name: 'a spot wave meets a change of leader and a shortage',
    workload: workload.overloadWorkload,
    faults: [fault.spotReclaim(45), fault.leaderCrash(45.3, 1500), fault.cloudShortage(44, 90, 6)],
  },
  {
    name: 'the cloud has fewer machines',
    workload: workload.overloadWorkload,
    faults: [fault.cloudShortage(20, 100, 5)],
  },
  {
    name: 'machines are up at once while writes lag and leaders end',
    workload: workload.mixedWorkload,
    faults: [
      fault.slowStore(3, 120, 300, 900),
      ...[8, 40, 72, 104].map((atS) => fault.leaderCrash(atS, 400)),
    ],
    options: { bootS: 1.2 },
  },
];

const WORKLOAD_SCENARIOS: Scenario[] = [
  { name: 'dependent jobs', workload: workload.dependentJobWorkload, faults: [] },
  {
    name: 'dependent jobs over crashes and an outage',
    workload: workload.dependentJobWorkload,
    faults: [fault.leaderCrash(30, 500), fault.storeOutage(45, 60), fault.leaderCrash(70, 3000)],
  },
  {
    name: 'overload over changes of leader',
    workload: workload.overloadWorkload,
    faults: [
      fault.leaderCrash(35, 1500),
      fault.leaderCrash(50, 1500),
      fault.cancellations(spaceEvenly(40, 60, 4)),
    ],
  },
  {
    name: 'short jobs, a quarter cancelled',
    workload: workload.shortJobWorkload,
    faults: [fault.leaderCrash(30, 800)],
    seconds: 110,
  },
  {
    name: 'odd requests while a leader changes',
    workload: workload.mixedWorkload,
    faults: [fault.irregularRequests(20, 20), fault.leaderCrash(45, 2000)],
  },
  {
    name: 'a team at its limit, machines cut off, a cancellation',
    workload: workload.longJobWorkload,
    faults: [
      fault.cancellations([47], { team: 'red', tasks: 12, cpus: 2 }),
      fault.machinePartition(44, 75, 5),
      fault.leaderCrash(45, 3000),
      fault.leaderCrash(58, 3000),
    ],
  },
  {
    name: 'hundreds of machines, a hundred die, the leader changes',
    workload: workload.largeArrayWorkload,
    faults: [
      fault.machinesLost(40, 60),
      fault.machinesHang(40, 47, 30),
      fault.allMembersCrash(43, 3000, 200),
    ],
    options: HUNDREDS_OF_MACHINES,
    seconds: 90,
  },
  {
    name: 'hundreds of machines, a zone cut and an outage',
    workload: workload.largeArrayWorkload,
    faults: [fault.zonePartition(30, 38), fault.storeOutage(45, 60)],
    options: HUNDREDS_OF_MACHINES,
    seconds: 90,
  },
];

const LEASED_ROLE_SCENARIOS: Scenario[] = [
  { name: 'duties on, no fault', workload: workload.mixedWorkload, faults: [], options: ROLES_ENABLED },
  {
    name: 'duties on, role holders stand still',
    workload: workload.mixedWorkload,
    faults: [25, 45, 65, 85].map((atS) => fault.roleHolderPaused(atS, 'rent', 9000)),
    options: ROLES_ENABLED,
  },
  {
    name: 'duties on, leaders end',
    workload: workload.mixedWorkload,
    faults: [30, 60, 90].map((atS) => fault.leaderCrash(atS, 3000)),
    options: ROLES_ENABLED,
  },
  {
    name: 'duties on, all controllers end and again while they elect',
    workload: workload.mixedWorkload,
    faults: [fault.allMembersCrash(40, 300), fault.allMembersCrash(46.5, 300)],
    options: ROLES_ENABLED,
  },
  {
    name: 'duties on, store and cloud outages',
    workload: workload.mixedWorkload,
    faults: [fault.storeOutage(40, 58), fault.cloudOutage(70, 95)],
    options: ROLES_ENABLED,
  },
  {
    name: 'duties on, late transactions and machines lost',
    workload: workload.overloadWorkload,
    faults: [fault.delayedTransactions(20, 90, 0.3), fault.machinesLost(50, 4), fault.spotReclaim(70)],
    options: ROLES_ENABLED,
  },
  {
    name: 'duties on at two of three',
    workload: workload.mixedWorkload,
    faults: [
      fault.memberCrash(14, 'c0', 9000),
      fault.memberCrash(14, 'c1', 9000),
      fault.memberCrash(70, 'c2', 5000),
      fault.allMembersCrash(100, 9000, 500),
    ],
    options: { roleMembers: ['c0', 'c1'] },
  },
];

/** All scenarios, in the order in which they run. */
export const SCENARIOS: readonly Scenario[] = [
  ...CONTROLLER_SCENARIOS,
  ...STORE_SCENARIOS,
  ...NETWORK_SCENARIOS,
  ...MACHINE_SCENARIOS,
  ...WORKLOAD_SCENARIOS,
  ...LEASED_ROLE_SCENARIOS,
];
