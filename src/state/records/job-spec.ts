/**
 * The description of a job and its stored form. The stored field names never change. They were chosen by earlier
 * versions, and this module maps them to the names of the code and back.
 */
import { isJsonObject } from '../../wire/json.js';
import { isPositiveInteger, isStringArray } from './checks.js';

/** The priority class of a job. */
export type Rank = 'prod' | 'high' | 'standard' | 'idle';

/** All ranks, from the highest to the lowest. */
export const RANKS: readonly Rank[] = ['prod', 'high', 'standard', 'idle'];

/** The description of a job, as a user submits it. */
export interface JobSpec {
  readonly uid: string;
  /** The class by which the job's service-level objectives and run times are looked up. */
  readonly jobClass: string;
  readonly team: string;
  /** An array ends when all of its tasks are completed. A service runs until it is cancelled. */
  readonly kind: 'array' | 'service';
  readonly rank: Rank;
  /** The number of tasks. */
  readonly tasks: number;
  /** Processors of one task. Fractions are allowed, as for the other resources. */
  readonly cpus: number;
  /** Accelerators of one task. */
  readonly accelerators: number;
  /** Memory of one task in GB. */
  readonly memGb: number;
  /** The names of the allowed instance types, or null if all are allowed. */
  readonly instanceTypes: readonly string[] | null;
  /** The zone in which all tasks have to run, or null if any zone is allowed. */
  readonly zone: string | null;
  /** Whether all tasks have to run in the same zone, which may be any one. */
  readonly singleZone: boolean;
  /** Whether no zone may run more than half of the tasks. */
  readonly zoneSpread: boolean;
  /** Whether the tasks may run on spot instances. */
  readonly spot: boolean;
  readonly image: string;
  /** Size of the image in GB. */
  readonly imageGb: number;
  /** Run time of a task in seconds, as estimated by its owner. */
  readonly estimatedRunS: number;
  /** Time in seconds between two checkpoints of a task, or 0 if it saves no checkpoints. */
  readonly checkpointIntervalS: number;
  /** Duration of a checkpoint in seconds. */
  readonly checkpointS: number;
  /** The deadline in seconds after the job was accepted, or null if it has none. */
  readonly deadlineS: number | null;
  /** Uids of the jobs that must be done before any task of this one starts. Absent if there are none. */
  readonly dependencies?: readonly string[];
  /** Refers to the list of dependencies if that does not fit into the job's own value. */
  readonly dependencyList?: DependencyListReference;
}

/** A reference to a dependency list under separate keys. The list is written before the job that refers to it. */
export interface DependencyListReference {
  /** Identifies the list. Each attempt to submit a job uses a new id. */
  readonly id: string;
  /** The number of keys over which the list is spread. */
  readonly parts: number;
}

/** The stored names of the fields whose stored name differs from the name in the code. */
const STORED_NAMES: Readonly<Record<string, string>> = {
  jobClass: 'cohort',
  instanceTypes: 'types',
  singleZone: 'oneZone',
  zoneSpread: 'scatter',
  estimatedRunS: 'guessS',
  checkpointIntervalS: 'saveEveryS',
  checkpointS: 'saveS',
  deadlineS: 'dueS',
  dependencyList: 'dependencySet',
};

const CODE_NAMES: Readonly<Record<string, string>> = Object.fromEntries(
  Object.entries(STORED_NAMES).map(([name, stored]) => [stored, name]),
);

/**
 * Caches of both forms of each description in use. A controller decodes the value of a job at each change and each
 * query, and encodes it again for each finished task, although the description never changes. Without the caches, the
 * conversion took several percent of a controller's processor time.
 */
const specsByStoredForm = new WeakMap<object, JobSpec>();
const storedFormsBySpec = new WeakMap<JobSpec, Record<string, unknown>>();

/**
 * Encodes a description. Fields that another version wrote are kept, in their order. The result is cached and must not
 * be modified.
 */
export function encodeJobSpec(spec: JobSpec): Record<string, unknown> {
  const cachedForm = storedFormsBySpec.get(spec);
  if (cachedForm) return cachedForm;
  const stored = renameFields(spec, STORED_NAMES);
  storedFormsBySpec.set(spec, stored);
  return stored;
}

/**
 * Decodes a description. Returns undefined if the stored form is malformed. Fields that this version does not know are
 * kept.
 */
export function decodeJobSpec(stored: unknown): JobSpec | undefined {
  if (!isJsonObject(stored)) return undefined;
  const cachedSpec = specsByStoredForm.get(stored);
  if (cachedSpec) return cachedSpec;
  if (!isStoredSpec(stored)) return undefined;
  const spec = renameFields(stored, CODE_NAMES) as unknown as JobSpec;
  specsByStoredForm.set(stored, spec);
  storedFormsBySpec.set(spec, stored);
  return spec;
}

function renameFields(fields: object, names: Readonly<Record<string, string>>): Record<string, unknown> {
  const renamed: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(fields)) renamed[names[name] ?? name] = value;
  return renamed;
}

const isDependencyListReference = (value: unknown): boolean =>
  isJsonObject(value) && typeof value.id === 'string' && isPositiveInteger(value.parts);

function isStoredSpec(value: unknown): value is Record<string, unknown> {
  if (!isJsonObject(value)) return false;
  const { types, zone, dueS } = value;
  const texts = [value.uid, value.cohort, value.team, value.image];
  const amounts = [
    ...[value.cpus, value.accelerators, value.memGb, value.imageGb],
    ...[value.guessS, value.saveEveryS, value.saveS, dueS ?? 0],
  ];
  const flags = [value.oneZone, value.scatter, value.spot];
  return (
    texts.every((text) => typeof text === 'string') &&
    amounts.every((amount) => typeof amount === 'number' && amount >= 0) &&
    flags.every((flag) => typeof flag === 'boolean') &&
    (value.kind === 'array' || value.kind === 'service') &&
    RANKS.some((rank) => rank === value.rank) &&
    isPositiveInteger(value.tasks) &&
    (types === null || isStringArray(types)) &&
    (zone === null || typeof zone === 'string') &&
    (dueS === null || typeof dueS === 'number') &&
    (value.dependencies === undefined || isStringArray(value.dependencies)) &&
    (value.dependencySet === undefined || isDependencyListReference(value.dependencySet))
  );
}
