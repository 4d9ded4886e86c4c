/** The metrics of a controller, and their text form, which is that of Prometheus. */
import type { TaskSlotUsage } from './cluster/task-slot-usage.js';
import type { LeaderMeasurements } from './leader/leader-measurements.js';

/** Media type of the text form. */
export const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4';

/** The value of one metric. */
export interface MetricSample {
  readonly name: string;
  readonly type: 'counter' | 'gauge';
  /** One line that explains the metric to operators. */
  readonly help: string;
  readonly value: number;
}

/** Counts the events of one controller process. */
export class ControllerMetrics {
  private oversizedRequestCount = 0;
  private otherRejectedRequestCount = 0;
  private largestHeartbeatBytes = 0;

  /** Records that a request was rejected with this status before it was handled. */
  recordRejectedRequest(status: number): void {
    if (status === 413) this.oversizedRequestCount++;
    else this.otherRejectedRequestCount++;
  }

  /** Records that a heartbeat of this size was received. */
  recordHeartbeat(bytes: number): void {
    this.largestHeartbeatBytes = Math.max(this.largestHeartbeatBytes, bytes);
  }

  /** Returns the samples of this process, and those of the cluster if this controller leads. */
  collect(leader: LeaderMeasurements | undefined): MetricSample[] {
    const samples: MetricSample[] = [
      {
        name: 'pumicehinge_requests_too_large_total',
        type: 'counter',
        help: 'Requests that were answered with 413 because of their size.',
        value: this.oversizedRequestCount,
      },
      {
        name: 'pumicehinge_requests_malformed_total',
        type: 'counter',
        help: 'Requests that were rejected for another reason before they were handled.',
        value: this.otherRejectedRequestCount,
      },
      {
        name: 'pumicehinge_heartbeat_largest_bytes',
        type: 'gauge',
        help: 'Size of the largest heartbeat that this process has received.',
        value: this.largestHeartbeatBytes,
      },
    ];
    return leader ? [...samples, ...collectTaskSlots(leader.taskSlots), ...collectCommands(leader)] : samples;
  }
}

function collectTaskSlots(usage: TaskSlotUsage): MetricSample[] {
  return [
    {
      name: 'pumicehinge_node_tasks_limit',
      type: 'gauge',
      help: 'Largest number of tasks that the scheduler places on a node.',
      value: usage.limit,
    },
    {
      name: 'pumicehinge_node_tasks_max',
      type: 'gauge',
      help: 'Tasks on the node that holds most of them, exited tasks included until they are acknowledged.',
      value: usage.mostTasks,
    },
    {
      name: 'pumicehinge_nodes_at_task_limit',
      type: 'gauge',
      help: 'Nodes that get no further task because of the number of their tasks.',
      value: usage.nodesAtLimit,
    },
    {
      name: 'pumicehinge_nodes_over_task_limit',
      type: 'gauge',
      help: 'Nodes that hold more tasks than the limit.',
      value: usage.nodesOverLimit,
    },
  ];
}

function collectCommands({ term, commands }: LeaderMeasurements): MetricSample[] {
  return [
    {
      name: 'pumicehinge_leader_term',
      type: 'gauge',
      help: 'Fencing token of the term in which this process leads.',
      value: term,
    },
    {
      name: 'pumicehinge_task_starts_sent_total',
      type: 'counter',
      help: 'Start commands in responses to heartbeats since the term began.',
      value: commands.startsSent,
    },
    {
      name: 'pumicehinge_direct_calls_total',
      type: 'counter',
      help: 'Direct calls to workers since the term began. They carry stop commands only.',
      value: commands.directCalls,
    },
    {
      name: 'pumicehinge_direct_calls_refused_total',
      type: 'counter',
      help: 'Direct calls since the term began that their workers refused because of the fencing token or the incarnation.',
      value: commands.directCallsRefused,
    },
  ];
}

/** Formats samples for a scrape. */
export function formatMetrics(samples: readonly MetricSample[]): string {
  return samples
    .map(
      ({ name, type, help, value }) => `# HELP ${name} ${help}\n# TYPE ${name} ${type}\n${name} ${value}\n`,
    )
    .join('');
}
