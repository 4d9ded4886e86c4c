/** The options of a simulated deployment, and the settings of its controllers. */
import type { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import type { Settings } from '../settings.js';
import { divideSockets } from '../sizing.js';
import type { TrafficObserver } from './traffic-observer.js';

/** Zones of the controllers, and of the machines unless the options say otherwise. */
export const ZONES = ['east', 'west'];
/** Seconds between two reports of a worker, unless the options say otherwise. */
export const REPORT_S = 1.5;
/** Duration of a worker's lease in seconds. */
export const LEASE_S = 14;
/** Seconds within which the tasks of a cancelled job must end. */
export const CANCEL_S = 35;
/**
 * Seconds after a confirmed cancellation during which an earlier start command may be in transit, or the image of its
 * task may be fetched.
 */
export const COMMAND_TRANSIT_S = 8;

/** An instance type that the simulated cloud offers. */
export interface MachineType {
  sku: string;
  cpus: number;
  memGb: number;
  /** Seconds that a machine of the type takes to boot. */
  bootS: number;
  price: number;
}

/** Options of a simulated deployment. */
export interface DeploymentOptions {
  controllers: number;
  /** The most machines that the cloud rents out at the same time. */
  machineCapacity: number;
  /** Factor by which the CPU limits of a small deployment's teams are multiplied. */
  cpuLimitScale: number;
  /** Zones in which the cloud has machines. Defaults to all zones. */
  machineZones?: string[];
  /** The only instance type of the cloud. Defaults to a small one. */
  machineType?: MachineType;
  /** Seconds that a machine takes to boot. Defaults to the boot time of the instance type. */
  bootS?: number;
  /** Seconds that a worker takes to fetch an image. Defaults to 1. */
  fetchS?: number;
  /** Seconds between two reports of a worker. Defaults to the interval of a small deployment. */
  reportS?: number;
  /**
   * Shortest time in seconds between two reports that changes cause. By default, each change causes a report of its
   * own.
   */
  minReportIntervalS?: number;
  /** Rate limits of the state service and the cloud. Default to those of a small deployment. */
  rates?: { rps: number; writesPerS: number; cloudRps: number };
  /**
   * Controllers that take part in leased roles, and leave the work of a role to its holder when they lead. Defaults
   * to none.
   */
  roleMembers?: readonly string[];
  /** Limits of the state service that the settings announce. Default to those that the simulated service enforces. */
  announcedLimits?: { valueBytes: number; maxTransactionOperations: number };
  /** Creates an observer that receives every message. */
  createObserver?: (clock: SimulatedClock) => TrafficObserver;
}

/** Seconds that a worker takes to fetch an image, unless the options say otherwise. */
export const DEFAULT_FETCH_S = 1;
/** The instance type that the simulated cloud offers. */
export const MACHINE_TYPE: MachineType = { sku: 'm4', cpus: 4, memGb: 16, bootS: 8, price: 0.2 };

const SMALL_RATES = { rps: 200, writesPerS: 80, cloudRps: 6 };

/** A deployment of three controllers and few machines. */
export const SMALL_DEPLOYMENT: DeploymentOptions = { controllers: 3, machineCapacity: 24, cpuLimitScale: 1 };

/** Lists the names of the controllers. */
export const listMembers = (options: DeploymentOptions): string[] =>
  Array.from({ length: options.controllers }, (_, i) => `c${i}`);

/** Creates the settings of a controller. */
export function createSettings(member: string, options: DeploymentOptions): Settings {
  const members = listMembers(options);
  const rates = options.rates ?? SMALL_RATES;
  const getZone = (name: string): string => ZONES[members.indexOf(name) % 2]!;
  return {
    member,
    zone: getZone(member),
    publicAddress: `${member}:80`,
    peerAddress: `${member}:81`,
    peers: members
      .filter((other) => other !== member)
      .map((other) => ({
        member: other,
        zone: getZone(other),
        address: `${other}:81`,
      })),
    cloudAddress: 'cloud:1',
    stateStoreAddress: 'state:1',
    controllerCount: options.controllers,
    zones: ZONES,
    teams: [
      {
        name: 'red',
        guaranteedCpus: 8 * options.cpuLimitScale,
        cpuLimit: 24 * options.cpuLimitScale,
        guaranteedAccelerators: 0,
        acceleratorLimit: 0,
      },
      {
        name: 'blue',
        guaranteedCpus: 16 * options.cpuLimitScale,
        cpuLimit: 40 * options.cpuLimitScale,
        guaranteedAccelerators: 0,
        acceleratorLimit: 0,
      },
    ],
    deadlineObjectives: [{ jobClass: 'batch', share: 0.9, deadlineFactor: 1 }],
    startObjectives: [],
    heartbeatIntervalS: options.reportS ?? REPORT_S,
    leaseDurationS: LEASE_S,
    maxCancellationS: CANCEL_S,
    stateLimits: {
      requestsPerSecond: rates.rps,
      writesPerSecond: rates.writesPerS,
      ...(options.announcedLimits ?? { valueBytes: 8192, maxTransactionOperations: 12 }),
    },
    cloudLimits: { rps: rates.cloudRps, maxListLagS: 0 },
    socketLimits: divideSockets(900),
    memoryBytes: 108 * 1024 * 1024,
    operator: {
      idleKeepS: 45,
      useSpot: true,
      duties: { enabled: options.roleMembers?.includes(member) ?? false },
    },
  };
}
