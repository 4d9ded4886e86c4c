/**
 * Encodes and decodes the messages between workers and controllers. This is the only module that knows the field names
 * and values of this wire format.
 */
import { assertNever } from '@pumicehinge/runtime';
import type {
  ExitCause,
  Heartbeat,
  TaskState,
  TaskStatus,
  WorkerCommand,
} from '../cluster/worker-messages.js';
import { isJsonObject, isWireInt, parseJson, type WireInt } from '../wire/json.js';

const TASK_STATES: ReadonlyMap<string, TaskState> = new Map([
  ['fetching', 'fetching'],
  ['running', 'running'],
  ['saving', 'saving'],
  ['exited', 'exited'],
]);

const EXIT_CAUSES: ReadonlyMap<string, ExitCause> = new Map([
  ['done', 'completed'],
  ['stopped', 'stopped'],
  ['error', 'failed'],
  ['full', 'insufficientResources'],
  ['in_use', 'conflictingAttempt'],
  ['no_such', 'unknownTask'],
]);

function decodeTaskStatus(value: unknown): TaskStatus | undefined {
  if (!isJsonObject(value) || typeof value.piece !== 'string' || !isWireInt(value.try)) return undefined;
  const slashIndex = value.piece.lastIndexOf('/');
  const taskIndex = Number(value.piece.slice(slashIndex + 1));
  if (slashIndex <= 0 || !Number.isSafeInteger(taskIndex) || taskIndex < 0) return undefined;
  if (typeof value.phase !== 'string') return undefined;
  return {
    jobUid: value.piece.slice(0, slashIndex),
    taskIndex,
    attemptNumber: value.try,
    // An unknown state counts as that of a task which is on the node but does not run yet. If the whole heartbeat were
    // rejected instead, the worker's lease would expire, and every task of the node would end.
    state: TASK_STATES.get(value.phase) ?? 'fetching',
    exitCause: typeof value.cause === 'string' ? (EXIT_CAUSES.get(value.cause) ?? 'unknown') : undefined,
  };
}

function decodeTasks(values: readonly unknown[]): TaskStatus[] | undefined {
  const tasks: TaskStatus[] = [];
  for (const value of values) {
    const task = decodeTaskStatus(value);
    if (!task) return undefined;
    tasks.push(task);
  }
  return tasks;
}

/** Decodes the parsed body of a heartbeat. Undefined if a field is missing or has a wrong type. */
export function decodeHeartbeat(value: unknown): Heartbeat | undefined {
  if (!isJsonObject(value) || !Array.isArray(value.pieces)) return undefined;
  const { hearth, address, build, yard, tenure, tick: sequence, baton } = value;
  if (typeof hearth !== 'string' || typeof address !== 'string') return undefined;
  if (typeof build !== 'string' || typeof yard !== 'string') return undefined;
  if (!isWireInt(tenure) || !isWireInt(sequence) || !isWireInt(baton)) return undefined;
  const tasks = decodeTasks(value.pieces);
  if (!tasks) return undefined;
  return {
    nodeName: hearth,
    address,
    type: build,
    zone: yard,
    spot: value.loaner === true,
    incarnation: tenure,
    sequence,
    fencingToken: baton,
    interruptionNoticeS: typeof value.warningS === 'number' ? value.warningS : null,
    tasks,
  };
}

/** Decodes a heartbeat from its JSON text. Undefined if the text is not JSON or not a heartbeat. */
export function parseHeartbeat(body: string): Heartbeat | undefined {
  try {
    return decodeHeartbeat(parseJson(body));
  } catch {
    return undefined;
  }
}

function encodeCommand(command: WorkerCommand): unknown {
  const { taskName, attemptNumber } = command;
  switch (command.kind) {
    case 'start':
      return { verb: 'run', piece: taskName, try: attemptNumber };
    case 'stop':
      return { verb: 'stop', piece: taskName, try: attemptNumber, leewayS: command.gracePeriodS };
    case 'acknowledge':
      return { verb: 'clear', piece: taskName, try: attemptNumber };
    default:
      return assertNever(command);
  }
}

/**
 * Encodes commands under a fencing token as a JSON value. For a direct call, `incarnation` is the incarnation of the
 * worker that may execute them. It is undefined for the response to a heartbeat, which belongs to the incarnation that
 * sent the heartbeat.
 */
export function encodeCommands(
  fencingToken: WireInt,
  commands: readonly WorkerCommand[],
  incarnation?: WireInt,
): unknown {
  const encoded = commands.map(encodeCommand);
  return incarnation === undefined
    ? { baton: fencingToken, orders: encoded }
    : { baton: fencingToken, tenure: incarnation, orders: encoded };
}

/** Encodes the JSON value that redirects a worker to the controller `member`. */
export function encodeRedirect(member: string): unknown {
  return { steward: member };
}
