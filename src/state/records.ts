import { DONE_CHUNK_TASKS } from '../constants.js';
import type { MachineType } from '../cloud/codec.js';
import { formatJson, isObject } from '../wire/json.js';
import { TaskSet } from './task-set.js';

/** Names and forms of what we keep in the state service; the only module that knows them. */
export const PREFIX = 'ph/';
export const LEADER_KEY = 'ph/leader';
export const TERM_KEY = 'ph/term';
export const CATALOG_KEY = 'ph/catalog';
export const LOSSES_KEY = 'ph/losses';
const JOB_PREFIX = 'ph/j/';
/** Finished tasks of large arrays. */
export const DONE_CHUNKS = 'ph/d/';
/** Lists of jobs that do not fit into a job's own value. */
export const DEPENDENCY_LISTS = 'ph/w/';

export const jobKey = (uid: string): string => JOB_PREFIX + uid;
export const doneKey = (uid: string, chunk: number): string => `${DONE_CHUNKS}${uid}/${chunk}`;
export const dependencyKey = (uid: string, set: DependencySet, part: number): string =>
  `${DEPENDENCY_LISTS}${uid}/${set.id}-${part}`;
/** The job to which a row of details, by its key, belongs. */
export const detailOwner = (key: string): string => key.split('/')[2] ?? '';

/** Who leads. */
export interface LeaderRecord {
  member: string;
  term: number;
  /** Whether the holders of duties do what it decides outside the workers; a former version does all itself. */
  delegates: boolean;
}

export function encodeLeader({ member, term, delegates }: LeaderRecord): unknown {
  return { member, term, ...(delegates ? { delegates: true } : {}) };
}

export function decodeLeader(value: unknown): LeaderRecord | undefined {
  if (!isObject(value) || typeof value.member !== 'string') return undefined;
  return { member: value.member, term: Number(value.term), delegates: value.delegates === true };
}

/** Machines are recorded in groups that were rented together, so that hundreds take a few writes. */
export const GROUPS = 'ph/g/';
export const groupKey = (name: string): string => GROUPS + name;
export const KEPT = 'ph/k/';
/** Machines whose leases a deputy keeps, a batch a key. */
export const keptKey = (member: string, batch: string): string => `${KEPT}${member}/${batch}`;
export const isKeptKey = (key: string): boolean => key.startsWith(KEPT);
export const isJobKey = (key: string): boolean => key.startsWith(JOB_PREFIX);
export const keyId = (key: string): string => key.slice(JOB_PREFIX.length);
export const JOBS = JOB_PREFIX;

export type Rank = 'prod' | 'high' | 'standard' | 'idle';
export const RANKS: readonly Rank[] = ['prod', 'high', 'standard', 'idle'];

export interface JobSpec {
  uid: string;
  cohort: string;
  team: string;
  kind: 'array' | 'service';
  rank: Rank;
  tasks: number;
  cpus: number;
  accelerators: number;
  memGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  scatter: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  guessS: number;
  saveEveryS: number;
  saveS: number;
  dueS: number | null;
  /** Jobs that must be done before any task of this one starts; none: left out. */
  dependencies?: readonly string[];
  /** Where they stand if they don't fit into the job's own value. */
  dependencySet?: DependencySet;
}

/** A list of jobs in keys of its own, written before the job that names it. */
export interface DependencySet {
  id: string;
  parts: number;
}

export type Phase = 'open' | 'done' | 'cancelled';

export interface JobRecord {
  phase: Phase;
  /** Number of tasks; all that is kept of a job that is over. */
  tasks: number;
  /** Undefined once the job is over and nothing of it is left on a machine. */
  spec?: JobSpec;
  /** Wall ms at which a controller accepted the job. */
  acceptedMs: number;
  /** One letter per member of the pipeline: N, E, S or F. */
  tuple: string;
  /** Whether the dated pipeline has ended and its undated successor runs. */
  successor: boolean;
  /** The finished tasks among the first DONE_CHUNK_TASKS. */
  done: string;
  /** Wall ms at which it was done; a former version did not say. */
  finishedMs?: number;
}

const PHASE_LETTER: Record<Phase, string> = { open: 'o', done: 'd', cancelled: 'c' };

export function encodeJob(record: JobRecord): unknown {
  const base = { p: PHASE_LETTER[record.phase], n: record.tasks, t: record.acceptedMs };
  const end = record.finishedMs === undefined ? {} : { f: record.finishedMs };
  if (!record.spec) return { ...base, ...end, x: record.tuple };
  return { ...base, ...end, x: record.tuple, u: record.successor ? 1 : 0, d: record.done, s: record.spec };
}

const PHASES = Object.keys(PHASE_LETTER) as Phase[];

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) > 0;

const isTexts = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every((text) => typeof text === 'string');

const isSet = (value: unknown): boolean =>
  isObject(value) && typeof value.id === 'string' && isCount(value.parts);

function isSpec(value: unknown): value is JobSpec & Record<string, unknown> {
  if (!isObject(value)) return false;
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
    isCount(value.tasks) &&
    (types === null || isTexts(types)) &&
    (zone === null || typeof zone === 'string') &&
    (dueS === null || typeof dueS === 'number') &&
    (value.dependencies === undefined || isTexts(value.dependencies)) &&
    (value.dependencySet === undefined || isSet(value.dependencySet))
  );
}

/** Undefined for what is not a job's value: it is not believed. */
export function decodeJob(value: unknown): JobRecord | undefined {
  if (!isObject(value)) return undefined;
  const phase = PHASES.find((each) => PHASE_LETTER[each] === value.p);
  const { n: tasks, t: acceptedMs, x: tuple, s } = value;
  if (!phase || !isCount(tasks) || typeof acceptedMs !== 'number') return undefined;
  if (typeof tuple !== 'string' || !/^[NESF]{1,2}$/.test(tuple)) return undefined;
  // Fields that we don't know stay in it: another version wrote them, and needs them when we write the value again.
  const spec = isSpec(s) && s.tasks === tasks ? s : undefined;
  if (phase === 'open' && !spec) return undefined;
  return {
    phase,
    tasks,
    spec,
    acceptedMs,
    tuple,
    successor: value.u === 1,
    done: typeof value.d === 'string' ? value.d : '',
    ...(typeof value.f === 'number' ? { finishedMs: value.f } : {}),
  };
}

/** The jobs that a job needs; undefined when a part of the list can't be read. */
export function dependenciesOf(
  spec: JobSpec,
  valueOf: (key: string) => unknown,
): readonly string[] | undefined {
  const { uid, dependencySet } = spec;
  if (!dependencySet) return spec.dependencies ?? [];
  const parts = Array.from({ length: dependencySet.parts }, (_, part) =>
    valueOf(dependencyKey(uid, dependencySet, part)),
  );
  return parts.every(isTexts) ? parts.flat() : undefined;
}

/** A job's value as its pipeline sees it; undefined when it is none. */
export function storedMember(
  value: unknown,
  valueOf: (key: string) => unknown,
): { phase: Phase; dependencies: readonly string[] | undefined } | undefined {
  const record = decodeJob(value);
  if (!record) return undefined;
  return { phase: record.phase, dependencies: record.spec ? dependenciesOf(record.spec, valueOf) : [] };
}

/** Bytes that a value takes in the state service. */
export const sizeOf = (value: unknown): number => Buffer.byteLength(formatJson(value));

/** Bytes that a job's value takes at most, however many of its tasks are done. */
export function mostBytes(record: JobRecord): number {
  const bitmap = Math.ceil(Math.min(record.tasks, DONE_CHUNK_TASKS) / 8 / 3) * 4;
  return sizeOf(encodeJob({ ...record, done: '', finishedMs: record.acceptedMs })) + bitmap;
}

/** Splits a list so that each part fits into a value. */
export function splitList(list: readonly string[], valueBytes: number): string[][] {
  const parts: string[][] = [];
  let bytes = Infinity;
  for (const text of list) {
    const more = sizeOf(text) + 1;
    if (bytes + more > valueBytes) {
      parts.push([]);
      bytes = 2;
    }
    parts.at(-1)!.push(text);
    bytes += more;
  }
  return parts;
}

/** Whether a job's value says that its user cancelled it; without decoding it. */
export function isCancelled(value: unknown): boolean {
  return isObject(value) && value.p === PHASE_LETTER.cancelled;
}

/** Number of keys over which the finished tasks of a job are spread; the first is the job's own. */
export function chunkCount(tasks: number): number {
  return Math.max(1, Math.ceil(tasks / DONE_CHUNK_TASKS));
}

export function encodeDone(done: TaskSet, chunk: number): string {
  return done.encode(chunk * DONE_CHUNK_TASKS, DONE_CHUNK_TASKS);
}

export function decodeDone(done: TaskSet, chunk: number, text: string): void {
  done.decode(chunk * DONE_CHUNK_TASKS, text);
}

/** Machines of one offer. */
export interface GroupRecord {
  type: string;
  zone: string;
  spot: boolean;
  /** Name to address; undefined: it boots, and surely holds no task. */
  members: Map<string, string | undefined>;
}

export function encodeGroup(group: GroupRecord): unknown {
  const m: Record<string, string | 0> = {};
  for (const [name, address] of group.members) m[name] = address ?? 0;
  return { t: group.type, z: group.zone, s: group.spot ? 1 : 0, m };
}

export function decodeGroup(value: unknown): GroupRecord | undefined {
  if (!isObject(value) || !isObject(value.m)) return undefined;
  const members = new Map<string, string | undefined>();
  for (const [name, address] of Object.entries(value.m))
    members.set(name, typeof address === 'string' ? address : undefined);
  return { type: String(value.t), zone: String(value.z), spot: value.s === 1, members };
}

/** Whether a group holds a machine; without decoding it, as it is asked for each report in a cut. */
export function groupHolds(value: unknown, node: string): boolean {
  return isObject(value) && isObject(value.m) && Object.hasOwn(value.m, node);
}

/** The catalogue as a leader left it; entries that are none are passed over. */
export function decodeTypes(value: unknown): MachineType[] {
  const isType = (each: unknown): each is MachineType =>
    isObject(each) &&
    typeof each.name === 'string' &&
    [each.cpus, each.accelerators, each.memGb, each.bootS].every((amount) => typeof amount === 'number') &&
    Array.isArray(each.zones) &&
    each.zones.every((zone) => typeof zone === 'string');
  return Array.isArray(value) ? value.filter(isType) : [];
}

export interface KeptRecord {
  term: number;
  nodes: string[];
}

export const encodeKept = ({ term, nodes }: KeptRecord): unknown => ({ t: term, m: nodes });

export function decodeKept(value: unknown): KeptRecord | undefined {
  if (!isObject(value) || !Array.isArray(value.m)) return undefined;
  return { term: Number(value.t), nodes: value.m.map(String) };
}
