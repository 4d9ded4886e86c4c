/** Loads and validates the settings files of the platform and of the operators. */
import type { ValidateFunction } from 'ajv';
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { Peer } from './peers/peer-transport.js';
import type { DeadlineObjective } from './pipeline/job-pipeline.js';
import type { TeamQuota } from './scheduler/team-quota.js';
import type { StartObjective } from './autoscaler/headroom.js';
import { DEFAULT_MEMORY_MIB } from './constants.js';
import { divideSockets, type SocketLimits } from './sizing.js';
import { validateOperator, validatePlatform } from './schema-validators.js';

/** The settings of a controller. Addresses are written as "ip:port". */
export interface Settings {
  /** Name of this controller. */
  member: string;
  /** Zone of this controller. */
  zone: string;
  /** Address on which this controller listens for users and workers. */
  publicAddress: string;
  /** Address on which this controller listens for other controllers. */
  peerAddress: string;
  /** The other controllers. */
  peers: Peer[];
  cloudAddress: string;
  /** Address of the state store. */
  stateStoreAddress: string;
  /** Number of controllers in the deployment. */
  controllerCount: number;
  /** Zones of the deployment. */
  zones: string[];
  teams: TeamQuota[];
  /** Service-level objectives for the share of jobs that meet their deadlines, by job class. */
  deadlineObjectives: DeadlineObjective[];
  /** Service-level objectives for the time until tasks start, by job class. */
  startObjectives: StartObjective[];
  /** Seconds between two heartbeats of a worker. */
  heartbeatIntervalS: number;
  /** Seconds for which the lease of a worker lasts after each renewal. */
  leaseDurationS: number;
  /** Seconds within which the tasks of a cancelled job must have ended. */
  maxCancellationS: number;
  /**
   * Limits of the state store. Each one is the lower of the current limit and the announced limit, because stored data must fit
   * both.
   */
  stateLimits: {
    requestsPerSecond: number;
    writesPerSecond: number;
    valueBytes: number;
    maxTransactionOperations: number;
  };
  /** Maximum requests per second to the cloud, and the maximum age of its list of machines in seconds. */
  cloudLimits: { rps: number; maxListLagS: number };
  socketLimits: SocketLimits;
  /** Bytes of memory that this process may use. */
  memoryBytes: number;
  operator: OperatorSettings;
}

/** Settings that operators provide. The schema describes each of them. */
export interface OperatorSettings {
  idleKeepS: number;
  useSpot: boolean;
  duties: { enabled: boolean };
}

/** A settings file that is missing or invalid. The message is one line for the operator. */
export class SettingsError extends Error {}

/** Limits of the state store in the settings file of the platform. */
interface StateLimitsSection {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
}

/** The settings file of the platform. Its schema is schema/platform.schema.json. */
interface PlatformFile {
  member: string;
  domain: string;
  public_addr: string;
  cluster_listen: string;
  seeds?: { member: string; domain: string; address: string }[];
  endpoints: { cloud: string; state: string };
  deployment: {
    count: number;
    zones: string[];
    teams?: { name: string; cpus: number; cpus_max: number; gpus: number; gpus_max: number }[];
    objectives?: { kind: string; class?: string; share?: number; times?: number; within_s?: number }[];
    workers: { report_s: number; lease_s: number; cancel_s: number };
    state: StateLimitsSection & { next?: Partial<StateLimitsSection> };
    cloud: { rps: number; list_lag_s: number };
    quota: { max_connections: number; mem_mb?: number };
  };
}

/** Validates the content of a settings file and fills in defaults. Throws a `SettingsError` if the content is invalid. */
function validateSettings<T>(validate: ValidateFunction, value: unknown, file: string): T {
  if (validate(value)) return value as T;
  const firstError = validate.errors?.[0];
  throw new SettingsError(
    `${file}: ${firstError?.instancePath || '/'} ${firstError?.message ?? 'is not valid'}`,
  );
}

function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as NodeJS.ErrnoException).code ?? 'cannot be read'}`);
  }
}

function parseSettingsFile(file: string, parseText: (text: string) => unknown): unknown {
  const text = readSettingsFile(file);
  try {
    return parseText(text);
  } catch (error) {
    throw new SettingsError(`${file}: ${String((error as Error).message).split('\n')[0]}`);
  }
}

/** Loads the settings from the files of the platform and the operators. Throws a `SettingsError` if one is unusable. */
export function loadSettings(platformPath: string, operatorPath?: string): Settings {
  const platform = validateSettings<PlatformFile>(
    validatePlatform,
    parseSettingsFile(platformPath, parse),
    platformPath,
  );
  const operatorInput = operatorPath === undefined ? {} : parseSettingsFile(operatorPath, JSON.parse);
  const operator = validateSettings<OperatorSettings>(
    validateOperator,
    operatorInput,
    operatorPath ?? 'operator settings',
  );
  const deployment = platform.deployment;
  /** Returns the lower of the current and the announced limit. */
  const tightestLimit = (limit: keyof StateLimitsSection): number =>
    Math.min(deployment.state[limit], deployment.state.next?.[limit] ?? Infinity);
  return {
    member: platform.member,
    zone: platform.domain,
    publicAddress: platform.public_addr,
    peerAddress: platform.cluster_listen,
    peers: (platform.seeds ?? [])
      .filter((seed) => seed.member !== platform.member)
      .map((seed) => ({ member: seed.member, zone: seed.domain, address: seed.address })),
    cloudAddress: platform.endpoints.cloud,
    stateStoreAddress: platform.endpoints.state,
    controllerCount: deployment.count,
    zones: deployment.zones,
    teams: (deployment.teams ?? []).map((team) => ({
      name: team.name,
      guaranteedCpus: team.cpus,
      cpuLimit: team.cpus_max,
      guaranteedAccelerators: team.gpus,
      acceleratorLimit: team.gpus_max,
    })),
    deadlineObjectives: (deployment.objectives ?? [])
      .filter((objective) => objective.kind === 'deadline' && objective.class !== undefined)
      .map((objective) => ({
        jobClass: objective.class!,
        share: objective.share ?? 1,
        deadlineFactor: objective.times ?? 1,
      })),
    startObjectives: (deployment.objectives ?? [])
      .filter(
        (objective) =>
          objective.kind === 'wait' && objective.class !== undefined && objective.within_s !== undefined,
      )
      .map((objective) => ({ jobClass: objective.class!, withinS: objective.within_s! })),
    heartbeatIntervalS: deployment.workers.report_s,
    leaseDurationS: deployment.workers.lease_s,
    maxCancellationS: deployment.workers.cancel_s,
    stateLimits: {
      requestsPerSecond: tightestLimit('rps'),
      writesPerSecond: tightestLimit('write_rps'),
      valueBytes: Math.floor(tightestLimit('value_kb') * 1024),
      maxTransactionOperations: tightestLimit('txn_ops'),
    },
    cloudLimits: { rps: deployment.cloud.rps, maxListLagS: deployment.cloud.list_lag_s },
    socketLimits: divideSockets(deployment.quota.max_connections),
    memoryBytes: (deployment.quota.mem_mb ?? DEFAULT_MEMORY_MIB) * 1024 * 1024,
    operator,
  };
}
