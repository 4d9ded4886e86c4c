import { isJsonObject } from '../src/wire/json.js';

/**
 * How the version in production (deploy/service.toml) writes and reads the data that it shares with the current
 * version. This module does not change when the current version does. Both versions run side by side during a rolling
 * upgrade. The values of jobs, node groups and delegated leases were printed by the code of the version in production,
 * and the decoding is abridged from that code.
 */

/** Values that the version in production wrote into the state service. */
export const STORED_VALUES = {
  open:
    '{"p":"o","n":4,"t":1790000002622,"x":"EN","u":0,"d":"Bw==","s":{"uid":"job-312747","cohort":"league-tables",' +
    '"team":"quizmaster-tools","kind":"array","rank":"standard","tasks":4,"cpus":4,"accelerators":0,"memGb":8.8,' +
    '"types":null,"zone":null,"oneZone":false,"scatter":false,"spot":true,"image":"img-07","imageGb":1.8,"guessS":65.5,' +
    '"saveEveryS":0,"saveS":0,"dueS":143}}',
  done: '{"p":"d","n":4,"t":1790000002622,"x":"SN"}',
  cancelled: '{"p":"c","n":4,"t":1790000002622,"x":"FE"}',
  group: '{"t":"kufel-node","z":"warszawa-a","s":1,"m":{"vm-000039":"10.1.0.40:9000","vm-000040":0}}',
  kept: '{"t":12,"m":["vm-000039","vm-000040"]}',
  term: '{"term":12}',
  leader: '{"member":"hearth-2","term":12}',
};

/** Unpacked frames that the version in production sent to other controllers. */
export const PEER_FRAMES: Record<string, unknown>[] = [
  { kind: 'beat' },
  { kind: 'able', able: true, relays: null },
  { kind: 'able', able: false, relays: 'hearth-1' },
  { kind: 'counts', running: { 'job-312747': 3 } },
  { kind: 'relay', id: 4503599627370497, body: '{}' },
  { kind: 'relayed', id: 4503599627370497, status: 200, body: '{"baton":12,"orders":[]}' },
  { kind: 'ask', id: 3, term: 12, since: 400 },
  { kind: 'ask', id: 4, term: 12, since: 400, read: { log: 77, seq: 3 } },
  { kind: 'cancellations', id: 4, term: 12, rows: [{ key: 'ph/j/job-1', value: { p: 'c' }, stamp: 401 }] },
  { kind: 'promise', id: 4, term: 12, given: true, informs: { parts: 1, at: { log: 77, seq: 4 } } },
];

/** Decodes a job's value as the version in production does. */
export function decodeJobAsProduction(value: unknown): Record<string, unknown> | undefined {
  if (!isJsonObject(value)) return undefined;
  const phase = { o: 'open', d: 'done', c: 'cancelled' }[String(value.p)];
  const { n: taskCount, t: acceptedMs, x: tuple, s: storedSpec } = value;
  if (
    !phase ||
    !Number.isSafeInteger(taskCount) ||
    (taskCount as number) <= 0 ||
    typeof acceptedMs !== 'number'
  )
    return undefined;
  if (typeof tuple !== 'string' || !/^[NESF]{1,2}$/.test(tuple)) return undefined;
  const spec =
    isJsonObject(storedSpec) && storedSpec.tasks === taskCount && typeof storedSpec.team === 'string'
      ? storedSpec
      : undefined;
  if (phase === 'open' && !spec) return undefined;
  const done = typeof value.d === 'string' ? value.d : '';
  return { phase, taskCount, spec, acceptedMs, tuple, isSuccessorRunning: value.u === 1, done };
}

/**
 * Encodes a decoded job as the version in production does. Fields unknown to it survive only in the job's
 * description.
 */
export function encodeJobAsProduction(record: Record<string, unknown>): unknown {
  const { phase, taskCount, acceptedMs, tuple, isSuccessorRunning, done, spec } = record;
  const base = { p: String(phase)[0], n: taskCount, t: acceptedMs, x: tuple };
  return spec === undefined ? base : { ...base, u: isSuccessorRunning ? 1 : 0, d: done, s: spec };
}
