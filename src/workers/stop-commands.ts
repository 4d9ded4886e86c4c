/** Creates the commands that stop tasks of ended jobs if a heartbeat lists them. */
import type { Heartbeat, WorkerCommand } from '../cluster/worker-messages.js';
import { MAX_COMMANDS_PER_RESPONSE } from '../constants.js';
import type { StateReplica } from '../state/state-replica.js';
import { decodeJob, jobKey } from '../state/records.js';

/**
 * Creates a stop command without a grace period for each task of the heartbeat whose job is done or cancelled
 * according to the replica, but no more than a response may contain. The next heartbeat no longer lists these tasks as
 * running, so its response stops others. A job that the replica does not hold counts as open.
 */
export function createStopCommandsForEndedJobs(
  heartbeat: Heartbeat,
  replica: Pick<StateReplica, 'get'>,
): WorkerCommand[] {
  const isEnded = (jobUid: string): boolean => {
    const phase = decodeJob(replica.get(jobKey(jobUid))?.value)?.phase;
    return phase !== undefined && phase !== 'open';
  };
  return heartbeat.tasks
    .filter((task) => task.state !== 'exited' && isEnded(task.jobUid))
    .slice(0, MAX_COMMANDS_PER_RESPONSE)
    .map((task) => ({
      kind: 'stop',
      taskName: `${task.jobUid}/${task.taskIndex}`,
      attemptNumber: task.attemptNumber,
      gracePeriodS: 0,
    }));
}
