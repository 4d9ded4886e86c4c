import assert from 'node:assert/strict';
import { pino } from 'pino';
import { SimulatedClock } from '@pumicehinge/runtime/simulated-clock';
import { Controller } from '../../src/controller.js';
import { formatResponse } from '../../src/http/server.js';
import { HttpCallError, type HttpClient, type HttpResponse } from '../../src/http/message.js';
import { encodePeerMessage } from '../../src/peers/peer-codec.js';
import type { PeerMessage } from '../../src/peers/peer-messages.js';
import { encodeFrame } from '../../src/peers/peer-frames.js';
import type { Settings } from '../../src/settings.js';
import { divideSockets } from '../../src/sizing.js';
import { SimulatedStateService } from '../../src/simulation/state-service.js';
import { formatCall, type RecordedCall } from './recording-caller.js';

/** Simulated time between a request and its response. */
const RESPONSE_DELAY_MS = 2;
/** Simulated time within which the controller must respond to a request. */
const RESPONSE_TIMEOUT_MS = 6_000;

/** The limits of the state store, as the settings of the controller declare them. */
export const STATE_STORE_LIMITS: Settings['stateLimits'] = {
  requestsPerSecond: 1_000,
  writesPerSecond: 1_000,
  valueBytes: 8_192,
  maxTransactionOperations: 12,
};

const DEFAULT_SETTINGS: Settings = {
  member: 'hearth-0',
  zone: 'east',
  publicAddress: '10.0.0.1:80',
  peerAddress: '10.0.0.1:81',
  peers: [
    { member: 'hearth-1', zone: 'west', address: '10.0.0.2:81' },
    { member: 'hearth-2', zone: 'east', address: '10.0.0.3:81' },
    { member: 'hearth-3', zone: 'west', address: '10.0.0.4:81' },
  ],
  cloudAddress: 'cloud:1',
  stateStoreAddress: 'state:1',
  controllerCount: 4,
  zones: ['east', 'west'],
  teams: [
    { name: 'red', guaranteedCpus: 8, cpuLimit: 24, guaranteedAccelerators: 0, acceleratorLimit: 0 },
    { name: 'blue', guaranteedCpus: 8, cpuLimit: 24, guaranteedAccelerators: 0, acceleratorLimit: 2 },
  ],
  deadlineObjectives: [{ jobClass: 'batch', share: 0.9, deadlineFactor: 1 }],
  startObjectives: [],
  heartbeatIntervalS: 1.5,
  leaseDurationS: 14,
  maxCancellationS: 35,
  stateLimits: STATE_STORE_LIMITS,
  cloudLimits: { rps: 6, maxListLagS: 0 },
  socketLimits: divideSockets(900),
  memoryBytes: 108 * 1024 * 1024,
  operator: { idleKeepS: 5, useSpot: true, duties: { enabled: false } },
};

/** Responds to a request of the controller to the cloud or to a worker. Returns undefined if no response arrives. */
export type ExternalResponder = (call: RecordedCall) => HttpResponse | undefined;

/**
 * Runs one controller in simulated time with a simulated state store. The test plays the peers, the cloud and the workers.
 * Everything that the controller sends is recorded, except its reads of the state store.
 */
export class ControllerHarness {
  readonly clock = new SimulatedClock();
  readonly stateStore: SimulatedStateService;
  /** All requests except reads of the state store, each as one line, in the order in which they were sent. */
  readonly calls: string[] = [];
  /** The frames to peers in the order in which they were sent: the name of the peer, a space and the bytes in hex. */
  readonly sentFrames: string[] = [];
  /** Names of the peers whose hosts refuse connections from this controller. */
  readonly peersRefusingConnections = new Set<string>();
  /** The levels of all log entries, in order. */
  readonly logLevels: string[] = [];
  /** The memory usage that the controller observes. */
  memoryUsedBytes = 0;
  private readonly controller: Controller;
  private readonly listeners: ((member: string, message: PeerMessage) => void)[] = [];
  private randomState = 1;

  constructor(respond: ExternalResponder = () => undefined, settings: Partial<Settings> = {}) {
    this.stateStore = new SimulatedStateService(this.clock, () => 0.5);
    const httpClient: HttpClient = {
      call: (address, method, target, body, timeoutMs) =>
        this.handleCall({ address, method, target, body }, timeoutMs, respond),
    };
    this.controller = new Controller({
      settings: { ...DEFAULT_SETTINGS, ...settings },
      clock: this.clock,
      random: () => this.nextRandom(),
      processStartMs: 0,
      measureUsedBytes: () => this.memoryUsedBytes,
      httpClient,
      workerHttpClient: httpClient,
      peerTransport: {
        send: (member, message) => {
          this.sentFrames.push(`${member} ${encodeFrame(encodePeerMessage(message)).toString('hex')}`);
          return true;
        },
        refusesConnections: (member) => this.peersRefusingConnections.has(member),
        onMessage: (listener) => this.listeners.push(listener),
      },
      log: pino(
        { level: 'debug', base: null, timestamp: false, formatters: { level: (level) => ({ level }) } },
        { write: (line: string) => this.logLevels.push((JSON.parse(line) as { level: string }).level) },
      ),
    });
  }

  start(): void {
    this.controller.start();
  }

  /** Advances the simulated clock. */
  async advance(durationMs: number): Promise<void> {
    await this.clock.runUntil(this.clock.steadyMs() + durationMs);
  }

  /** Delivers a message of a peer to the controller. */
  receiveFromPeer(member: string, message: PeerMessage): void {
    for (const listener of this.listeners) listener(member, message);
  }

  /** Writes keys to the state store, as another controller would. A key whose value is undefined is deleted. */
  async writeKeys(valuesByKey: Readonly<Record<string, unknown>>): Promise<void> {
    const operations = Object.entries(valuesByKey).map(([key, value]) =>
      value === undefined ? { drop: key } : { put: key, v: value },
    );
    const response = await this.stateStore.handle(
      'test',
      'POST',
      '/multi',
      JSON.stringify({ apply: operations }),
    );
    assert.equal(response?.status, 200);
  }

  /** Sends a request and returns the complete response, as it is written to the connection. */
  async sendRequest(method: string, path: string, body = ''): Promise<string> {
    const pendingResponse = this.startRequest(method, path, body);
    for (let waitedMs = 0; !pendingResponse.text; waitedMs += RESPONSE_DELAY_MS) {
      assert.ok(waitedMs < RESPONSE_TIMEOUT_MS, `no response to ${method} ${path}`);
      await this.advance(RESPONSE_DELAY_MS);
    }
    return pendingResponse.text;
  }

  /** Starts a request. The text of the result is undefined until the controller has responded. */
  startRequest(method: string, path: string, body = ''): { text: string | undefined } {
    const pendingResponse: { text: string | undefined } = { text: undefined };
    this.controller.handleRequest({ method, path, query: '', body }, (response) => {
      pendingResponse.text = formatResponse(response, response.closesConnection !== true);
    });
    return pendingResponse;
  }

  private handleCall(
    call: RecordedCall,
    timeoutMs: number,
    respond: ExternalResponder,
  ): Promise<HttpResponse> {
    const { address, method, target, body } = call;
    const isStateStoreCall = address === DEFAULT_SETTINGS.stateStoreAddress;
    // Reads of the state store are not recorded, as the forms must not depend on how often they happen.
    if (!isStateStoreCall || method !== 'GET') this.calls.push(formatCall(call));
    return new Promise((resolve, reject) => {
      const cancelTimeout = this.clock.setTimer(timeoutMs, () =>
        reject(new HttpCallError('unclear', 'timed out')),
      );
      const deliverResponse = (response: HttpResponse | undefined): void => {
        if (!response) return;
        cancelTimeout();
        this.clock.setTimer(RESPONSE_DELAY_MS, () => resolve(response));
      };
      if (isStateStoreCall)
        void this.stateStore.handle('hearth-0', method, target, body).then(deliverResponse);
      else deliverResponse(respond(call));
    });
  }

  /** A pseudorandom number between 0 and 1. Every run draws the same numbers. */
  private nextRandom(): number {
    this.randomState = (this.randomState * 48_271) % 2_147_483_647;
    return this.randomState / 2_147_483_647;
  }
}
