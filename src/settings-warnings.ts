/** Warnings about settings that are valid but too low for the guarantees of the service. */
import {
  MIN_CLIENT_SOCKETS,
  CANCELLATION_MARGIN_MS,
  LEADER_REQUEST_RATE_SHARE,
  MIN_CLOUD_RPS,
  MIN_FOLLOWER_RPS,
  MIN_LEADER_WRITES_PER_S,
  MIN_TRANSACTION_OPERATIONS,
  MIN_VALUE_BYTES,
  LEADER_WRITE_RATE_SHARE,
  PROCESS_BASE_BYTES,
  MIN_HEARTBEATS_PER_LEASE,
  STATE_RATE_SHARE,
  WATCH_GRACE_MS,
  WATCH_WAIT_MS,
} from './constants.js';
import type { Settings } from './settings.js';

/** Returns a warning if a setting is below the required minimum, and nothing otherwise. */
const checkMinimum = (setting: string, value: number, minimum: number, reason: string): string[] =>
  value < minimum ? [`${setting} is ${value}, but at least ${minimum} is needed: ${reason}`] : [];

/** Rounds up to two decimal places. */
const roundUp = (value: number): number => Math.ceil(value * 100) / 100;

/**
 * Warns about settings with which the service starts but cannot keep its guarantees. Each warning is one line with the name
 * of the setting, its value and the required minimum. This function is pure.
 */
export function findSettingsWarnings(settings: Settings): string[] {
  const {
    controllerCount,
    stateLimits,
    cloudLimits,
    socketLimits,
    leaseDurationS,
    heartbeatIntervalS,
    maxCancellationS,
    memoryBytes,
  } = settings;
  const followerRequestShare = (STATE_RATE_SHARE * (1 - LEADER_REQUEST_RATE_SHARE)) / controllerCount;
  const leaderWriteShare =
    STATE_RATE_SHARE * ((1 - LEADER_WRITE_RATE_SHARE) / controllerCount + LEADER_WRITE_RATE_SHARE);
  const watchDelayAndMarginS = (WATCH_WAIT_MS + WATCH_GRACE_MS + CANCELLATION_MARGIN_MS) / 1000;
  return [
    ...checkMinimum(
      'state.rps',
      stateLimits.requestsPerSecond,
      roundUp(MIN_FOLLOWER_RPS / followerRequestShare),
      'each controller watches the state store and reads from it for users',
    ),
    ...checkMinimum(
      'state.write_rps',
      stateLimits.writesPerSecond,
      roundUp(MIN_LEADER_WRITES_PER_S / leaderWriteShare),
      'the leader writes the records of jobs and machines',
    ),
    ...checkMinimum(
      'state.value_kb',
      stateLimits.valueBytes / 1024,
      MIN_VALUE_BYTES / 1024,
      'the records of machines and jobs must fit into a value',
    ),
    ...checkMinimum(
      'state.txn_ops',
      stateLimits.maxTransactionOperations,
      MIN_TRANSACTION_OPERATIONS,
      'a job with many finished tasks needs several writes in one transaction',
    ),
    ...checkMinimum('cloud.rps', cloudLimits.rps, MIN_CLOUD_RPS, 'machines are rented, returned and listed'),
    ...checkMinimum(
      'quota.max_connections (for clients)',
      socketLimits.maxClientConnections,
      MIN_CLIENT_SOCKETS,
      'workers, users and health checks need connections',
    ),
    ...checkMinimum(
      'quota.mem_mb',
      memoryBytes / 2 ** 20,
      (PROCESS_BASE_BYTES / 2 ** 20) * 2,
      'the runtime uses half of it',
    ),
    ...checkMinimum(
      'workers.lease_s',
      leaseDurationS,
      MIN_HEARTBEATS_PER_LEASE * heartbeatIntervalS,
      'a lease must outlast lost heartbeats',
    ),
    ...checkMinimum(
      'workers.cancel_s',
      maxCancellationS,
      roundUp(leaseDurationS + watchDelayAndMarginS + heartbeatIntervalS),
      'in an outage, cancelled tasks run until their lease expires',
    ),
  ];
}
