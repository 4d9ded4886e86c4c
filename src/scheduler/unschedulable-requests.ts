/** Remembers the requests for which a search found no node, so that similar requests need no search. */
import type { JobSpec } from '../state/records.js';
import { isWithin } from './placement-constraints.js';

/**
 * The requests for which no node had, or could get through preemption, enough free capacity. This capacity only shrinks
 * during a scheduling cycle or a search for preemptions. Another task that needs at least as much under the same
 * constraints therefore needs no search. This matters because most of hundreds of waiting jobs are similar.
 */
export class UnschedulableRequests {
  private readonly specsByConstraints = new Map<string, JobSpec[]>();

  /** Records that no node can hold a task of this job. */
  record(spec: JobSpec): void {
    const key = getConstraintsKey(spec);
    const recordedSpecs = this.specsByConstraints.get(key);
    if (recordedSpecs) recordedSpecs.push(spec);
    else this.specsByConstraints.set(key, [spec]);
  }

  /** Whether the recorded requests imply that no node can hold a task of this job. */
  covers(spec: JobSpec): boolean {
    return (
      this.specsByConstraints
        .get(getConstraintsKey(spec))
        ?.some((recordedSpec) => isWithin(recordedSpec, spec)) ?? false
    );
  }
}

const getConstraintsKey = ({ instanceTypes, zone, spot }: JobSpec): string =>
  `${instanceTypes?.join(',') ?? ''}/${zone ?? ''}/${spot}`;
