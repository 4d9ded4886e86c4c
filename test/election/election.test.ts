import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import {
  LEASE_VOTE_REQUEST_INTERVAL_MS,
  LEADER_LEASE_TTL_MS,
  STATE_STORE_PROBE_TIMEOUT_MS,
  STATE_UNAVAILABLE_AFTER_MS,
} from '../../src/constants.js';
import { Election } from '../../src/election/election.js';
import type { LeadershipTerm } from '../../src/election/leadership-term.js';
import { CancellationWatermark } from '../../src/election/cancellation-watermark.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import type { PeerMessageListener } from '../../src/peers/peer-transport.js';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import type { KeyChange, KeyValue, StoreClient } from '../../src/state/store-client.js';
import type { StateReplica } from '../../src/state/state-replica.js';
import { encodeJob, jobKey, LEADER_KEY, TERM_KEY } from '../../src/state/records.js';

const MAX_CANCELLATION_LAG_MS = 20_000;

type ProbeResult = 'served' | 'refused' | 'unanswered';

/** Creates a client of a state store that grants leases and applies every transaction, but fails each lease renewal. */
function createStoreClient() {
  return {
    lastCallFailed: false,
    lastServedCallMs: 0,
    isStoreAvailable: true,
    setIsLeader: () => undefined,
    grantLease: () => Promise.resolve(1),
    compareAndSwap: () => Promise.resolve({ outcome: 'applied', revision: 5 }),
    keepAlive: () => Promise.reject(new Error('not served')),
    revokeLease: () => Promise.resolve(),
  };
}

/** Creates a replica with term 6, led by `leader` if given. A read of the state store ends as `probe` specifies. */
function createReplica(
  leader: string | undefined,
  probe: ProbeResult,
  clock: SimulatedClock,
  storeClient: ReturnType<typeof createStoreClient>,
) {
  const values = new Map<string, unknown>([[TERM_KEY, { term: 6 }]]);
  if (leader !== undefined) values.set(LEADER_KEY, { member: leader, term: 6 });
  const merged: KeyValue[] = [];
  const listeners: ((change: KeyChange) => void)[] = [];
  return {
    merged,
    isLoaded: true,
    get: (key: string): KeyValue | undefined =>
      merged.find((keyValue) => keyValue.key === key) ??
      (values.has(key) ? { key, value: values.get(key), modRevision: 1 } : undefined),
    listPrefix: () => [],
    onChange: (listener: (change: KeyChange) => void) => listeners.push(listener),
    applyOwnWrite: () => undefined,
    syncedRevision: 4,
    mergeIfNewer: (keyValue: KeyValue) => {
      merged.push(keyValue);
      for (const listener of listeners) listener(keyValue);
    },
    linearizableRead: () => {
      if (probe === 'unanswered') return new Promise(() => undefined);
      storeClient.lastCallFailed = probe === 'refused';
      if (storeClient.lastCallFailed) return Promise.reject(new Error('refused'));
      storeClient.lastServedCallMs = clock.steadyMs();
      return Promise.resolve();
    },
  };
}

/** Creates the election of one controller with a single peer. `leader` is the leader according to the state store. */
function createFixture(leader: string | undefined, probe: ProbeResult = 'served') {
  const clock = new SimulatedClock();
  const storeClient = createStoreClient();
  const replica = createReplica(leader, probe, clock, storeClient);
  const sent: PeerMessage[] = [];
  const watermark = new CancellationWatermark(MAX_CANCELLATION_LAG_MS);
  let receive: PeerMessageListener = () => undefined;
  let term: LeadershipTerm | undefined;
  const election = new Election({
    member: 'c0',
    zone: 'a',
    delegatesCloudCalls: false,
    peers: [{ member: 'c1', zone: 'a', address: '' }],
    storeClient: storeClient as unknown as StoreClient,
    replica: replica as unknown as StateReplica,
    transport: {
      send: (_to, message) => sent.push(message) > 0,
      refusesConnections: () => false,
      onMessage: (listener) => (receive = listener),
    },
    callbacks: { onElected: (elected) => (term = elected), onLeadershipLost: () => undefined },
    clock,
    random: () => 0,
    watermark,
    maxValueBytes: 8192,
    processStartMs: 0,
    log: pino({ level: 'silent' }),
  });
  return {
    clock,
    storeClient,
    election,
    sent,
    replica,
    watermark,
    merged: replica.merged,
    receive: (message: PeerMessage) => receive('c1', message),
    term: () => term,
  };
}

test('a voter with an idle watch grants its vote only if the state store does not serve a probe', async () => {
  const cases: [probe: ProbeResult, expectedVotes: boolean[]][] = [
    ['served', [false, false, false]],
    ['refused', [false, true, true]],
    ['unanswered', [false, true, true]],
  ];
  for (const [probe, expectedVotes] of cases) {
    const { clock, sent, receive } = createFixture('c1', probe);
    // Nothing has changed in the state store for a while, so the watch has received no response.
    await clock.runUntil(STATE_UNAVAILABLE_AFTER_MS * 2);
    for (let round = 1; round <= expectedVotes.length; round++) {
      receive({ kind: 'leaseVoteRequest', round, term: 6 });
      await clock.runUntil(
        clock.steadyMs() + Math.max(LEASE_VOTE_REQUEST_INTERVAL_MS, STATE_STORE_PROBE_TIMEOUT_MS + 1),
      );
    }
    const votes = sent.flatMap((message) => (message.kind === 'leaseVote' ? [message.isGranted] : []));
    assert.deepEqual(votes, expectedVotes, probe);
  }
});

// Guards against counting a late vote that answers a request of a former process of this controller, in an earlier term.
test('a vote extends the authority of the term that requested it, but not of a later term', async () => {
  for (const [termsBehind, isExtended] of [
    [1, false],
    [0, true],
  ] as const) {
    const { clock, storeClient, election, sent, receive, term } = createFixture(undefined);
    election.start();
    while (!term()) await clock.runUntil(clock.steadyMs() + 50);
    const startMs = clock.steadyMs();
    storeClient.lastCallFailed = true;
    // Each request is answered immediately, the last one shortly before the lease would have expired.
    let answeredCount = 0;
    while (clock.steadyMs() < startMs + LEADER_LEASE_TTL_MS - 400) {
      await clock.runUntil(clock.steadyMs() + 10);
      const requests = sent.filter((m) => m.kind === 'leaseVoteRequest');
      for (const request of requests.slice(answeredCount))
        receive({
          kind: 'leaseVote',
          round: request.round,
          term: request.term - termsBehind,
          isGranted: true,
        });
      answeredCount = requests.length;
    }
    assert.ok(answeredCount > 2, `${answeredCount} requests`);
    assert.equal(term()!.authority.isValid(startMs + LEADER_LEASE_TTL_MS), isExtended);
  }
});

const createCancelledJob = (uid: string, modRevision: number): KeyValue => ({
  key: jobKey(uid),
  value: encodeJob({
    phase: 'cancelled',
    taskCount: 1,
    acceptedMs: 0,
    memberStates: 'N',
    isSuccessorRunning: false,
    firstCompletionSegment: '',
  }),
  modRevision,
});

test('a voter sends the cancellations that the leader lacks, and none if the voter cannot tell which', async () => {
  const cases: [
    name: string,
    prepare: (fixture: ReturnType<typeof createFixture>) => void,
    request: object,
    expectedJobCount: number | undefined,
  ][] = [
    [
      'the leader requests from the revision up to which its replica is complete',
      () => undefined,
      { sinceRevision: 11 },
      2,
    ],
    ['the leader lacks nothing', () => undefined, { sinceRevision: 13 }, 0],
    ['a leader of a former version requests', () => undefined, {}, undefined],
    [
      'the replica of the voter is not loaded',
      ({ replica }) => (replica.isLoaded = false),
      { sinceRevision: 11 },
      undefined,
    ],
  ];
  for (const [name, prepare, request, expectedJobCount] of cases) {
    const fixture = createFixture('c1', 'refused');
    for (const revision of [10, 12, 13]) {
      fixture.replica.mergeIfNewer(createCancelledJob(`job-${revision}`, revision));
    }
    prepare(fixture);
    await fixture.clock.runUntil(STATE_UNAVAILABLE_AFTER_MS * 2);
    fixture.storeClient.lastCallFailed = true;
    fixture.receive({ kind: 'leaseVoteRequest', round: 1, term: 6, ...request });
    const vote = fixture.sent.find((m) => m.kind === 'leaseVote');
    assert.ok(vote?.isGranted, name);
    const sent = fixture.sent.flatMap((m) => (m.kind === 'cancellations' ? m.cancelledJobs : []));
    assert.equal(vote.transfer && sent.length, expectedJobCount, name);
    if (expectedJobCount) assert.deepEqual(sent.at(-1), createCancelledJob('job-13', 13));
    // In the next round, the leader reads on from its offset.
    if (!vote.transfer) continue;
    fixture.sent.length = 0;
    fixture.receive({
      kind: 'leaseVoteRequest',
      round: 2,
      term: 6,
      sinceRevision: 0,
      offset: vote.transfer.endOffset,
    });
    assert.deepEqual(
      fixture.sent.map((m) => m.kind),
      ['leaseVote'],
      name,
    );
  }
});

test('the cancellation watermark advances only after all cancellations announced with a vote are merged', async () => {
  type VoteRound = {
    jobBatches: KeyValue[][];
    messageCount: number | undefined;
    arrivesFirst: 'batches' | 'vote';
  };
  const cases: [name: string, round: VoteRound, mergedCount: number, isAdvanced: boolean][] = [
    ['nothing to send', { jobBatches: [], messageCount: 0, arrivesFirst: 'batches' }, 0, true],
    [
      'a batch arrives before the vote',
      { jobBatches: [[createCancelledJob('job-1', 9)]], messageCount: 1, arrivesFirst: 'batches' },
      1,
      true,
    ],
    [
      'the vote arrives before its batch',
      { jobBatches: [[createCancelledJob('job-1', 9)]], messageCount: 1, arrivesFirst: 'vote' },
      1,
      true,
    ],
    [
      'one of two batches is lost',
      { jobBatches: [[createCancelledJob('job-1', 9)]], messageCount: 2, arrivesFirst: 'batches' },
      1,
      false,
    ],
    [
      'a voter of a former version sends no cancellations',
      { jobBatches: [], messageCount: undefined, arrivesFirst: 'batches' },
      0,
      false,
    ],
    [
      'a batch with a key that is not a cancelled job is ignored',
      {
        jobBatches: [[{ ...createCancelledJob('job-1', 9), key: LEADER_KEY }]],
        messageCount: 1,
        arrivesFirst: 'batches',
      },
      0,
      false,
    ],
  ];
  for (const [name, { jobBatches, messageCount, arrivesFirst }, mergedCount, isAdvanced] of cases) {
    const fixture = createFixture(undefined);
    fixture.election.start();
    while (!fixture.term()) await fixture.clock.runUntil(fixture.clock.steadyMs() + 50);
    fixture.storeClient.lastCallFailed = true;
    const { fencingToken } = fixture.term()!;
    let request: PeerMessage | undefined;
    while (!(request = fixture.sent.find((m) => m.kind === 'leaseVoteRequest')))
      await fixture.clock.runUntil(fixture.clock.steadyMs() + 10);
    assert.ok(request.kind === 'leaseVoteRequest');
    assert.equal(request.sinceRevision, fixture.replica.syncedRevision);
    const { round } = request;
    const transfer =
      messageCount === undefined ? undefined : { messageCount, endOffset: { logId: 1, sequence: 1 } };
    const term = fencingToken;
    const messages: PeerMessage[] = jobBatches.map((jobs) => ({
      kind: 'cancellations',
      round,
      term,
      cancelledJobs: jobs,
    }));
    const vote: PeerMessage = { kind: 'leaseVote', round, term, isGranted: true, transfer };
    for (const message of arrivesFirst === 'batches' ? [...messages, vote] : [vote, ...messages])
      fixture.receive(message);
    assert.equal(fixture.merged.length, mergedCount, name);
    assert.equal(fixture.watermark.mayAnswerHeartbeats(fixture.clock.steadyMs()), isAdvanced, name);
    assert.ok(fixture.term()!.authority.isValid(fixture.clock.steadyMs()), name);
  }
});
