import type { Order, Report } from '../fleet/codec.js';
import type { Mirror } from '../state/mirror.js';
import { decodeJob, jobKey } from '../state/records.js';

/** Stops for the tasks of a report whose jobs are over by our copy: they must end in time wherever they are heard of. */
export function stopsOfEnded(report: Report, mirror: Pick<Mirror, 'get'>): Order[] {
  return report.tasks
    .filter((task) => task.state !== 'exited')
    .filter((task) => (decodeJob(mirror.get(jobKey(task.job))?.value)?.phase ?? 'open') !== 'open')
    .map((task) => ({
      verb: 'stop',
      task: `${task.job}/${task.index}`,
      attempt: task.attempt,
      leewayS: 0,
    }));
}
