import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { GRANT_ASK_MS, LEADER_TTL_MS, PROBE_MS, STATE_FAILING_MS } from '../src/constants.js';
import { Election, type Term } from '../src/leadership/election.js';
import { Knowledge } from '../src/leadership/knowledge.js';
import type { PeerMessage } from '../src/leadership/peer-codec.js';
import { SimClock } from '../src/simulation/clock.js';
import type { Change, Row, StateClient } from '../src/state/client.js';
import type { Mirror } from '../src/state/mirror.js';
import { LEADER_KEY, TERM_KEY } from '../src/state/records.js';

const KNOWN_WITHIN_MS = 20_000;

type Probe = 'served' | 'refused' | 'silent';

/** One controller with a single peer; `leader` is who leads by the state service. */
function setUp(leader: string | undefined, probe: Probe = 'served') {
  const clock = new SimClock();
  const client = {
    failing: false,
    lastServedMs: 0,
    isServed: true,
    setLeading: () => undefined,
    lease: () => Promise.resolve(1),
    multi: () => Promise.resolve({ outcome: 'applied', epoch: 5 }),
    touch: () => Promise.reject(new Error('not served')),
    endLease: () => Promise.resolve(),
  };
  const rows = new Map<string, unknown>([[TERM_KEY, { term: 6 }]]);
  if (leader !== undefined) rows.set(LEADER_KEY, { member: leader, term: 6 });
  const learned: Row[] = [];
  const listeners: ((change: Change) => void)[] = [];
  const mirror = {
    isLoaded: true,
    get: (key: string) => (rows.has(key) ? { key, value: rows.get(key), stamp: 1 } : undefined),
    startingWith: () => [],
    onChange: (listener: (change: Change) => void) => listeners.push(listener),
    confirm: () => undefined,
    completeTo: 4,
    learn: (row: Row) => {
      learned.push(row);
      for (const listener of listeners) listener(row);
    },
    sync: () => {
      if (probe === 'silent') return new Promise(() => undefined);
      client.failing = probe === 'refused';
      if (client.failing) return Promise.reject(new Error('refused'));
      client.lastServedMs = clock.steadyMs();
      return Promise.resolve();
    },
  };
  const sent: PeerMessage[] = [];
  const knowledge = new Knowledge(KNOWN_WITHIN_MS);
  let hear: (member: string, message: PeerMessage) => void = () => undefined;
  let term: Term | undefined;
  const election = new Election(
    { member: 'c0', zone: 'a' },
    [{ member: 'c1', zone: 'a', address: '' }],
    client as unknown as StateClient,
    mirror as unknown as Mirror,
    {
      send: (_to, message) => sent.push(message),
      refuses: () => false,
      onMessage: (listener) => (hear = listener),
    },
    { elected: (elected) => (term = elected), lost: () => undefined },
    clock,
    () => 0,
    knowledge,
    8,
    0,
    pino({ level: 'silent' }),
  );
  return {
    clock,
    client,
    election,
    sent,
    mirror,
    knowledge,
    learned,
    hear: (m: PeerMessage) => hear('c1', m),
    term: () => term,
  };
}

test('a peer whose watch is only idle does not promise, one that the state service fails does', async () => {
  const cases: [probe: Probe, promises: boolean[]][] = [
    ['served', [false, false, false]],
    ['refused', [false, true, true]],
    ['silent', [false, true, true]],
  ];
  for (const [probe, promises] of cases) {
    const { clock, sent, hear } = setUp('c1', probe);
    // Nothing changed in the state service for a while, so its watch had nothing to tell.
    await clock.runUntil(STATE_FAILING_MS * 2);
    for (let id = 1; id <= promises.length; id++) {
      hear({ kind: 'ask', id, term: 6 });
      await clock.runUntil(clock.steadyMs() + Math.max(GRANT_ASK_MS, PROBE_MS + 1));
    }
    const given = sent.flatMap((message) => (message.kind === 'promise' ? [message.given] : []));
    assert.deepEqual(given, promises, probe);
  }
});

test('a promise counts for the term that asked for it, not for that of a former process', async () => {
  for (const [late, carried] of [
    [1, false],
    [0, true],
  ] as const) {
    const { clock, client, election, sent, hear, term } = setUp(undefined);
    election.start();
    while (!term()) await clock.runUntil(clock.steadyMs() + 50);
    const fromMs = clock.steadyMs();
    client.failing = true;
    // Each request is answered at once; the last one shortly before the lease would have ended.
    let answered = 0;
    while (clock.steadyMs() < fromMs + LEADER_TTL_MS - 400) {
      await clock.runUntil(clock.steadyMs() + 10);
      const asks = sent.filter((m) => m.kind === 'ask');
      for (const ask of asks.slice(answered))
        hear({ kind: 'promise', id: ask.id, term: ask.term - late, given: true });
      answered = asks.length;
    }
    assert.ok(answered > 2, `${answered} requests`);
    assert.equal(term()!.authority.holds(fromMs + LEADER_TTL_MS), carried);
  }
});
