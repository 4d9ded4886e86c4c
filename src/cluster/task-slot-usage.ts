/** How many tasks the nodes hold, compared with the limit per node. */
import type { Logger } from 'pino';
import { MAX_TASKS_PER_NODE } from '../constants.js';
import type { Node } from './node.js';

/** Counts of the tasks on the nodes of a cluster. */
export interface TaskSlotUsage {
  /** Largest number of tasks that the scheduler places on a node. */
  readonly limit: number;
  /** Number of tasks on the node that holds most of them. */
  readonly mostTasks: number;
  /** Number of nodes without a free task slot. */
  readonly nodesAtLimit: number;
  /** Number of nodes that hold more tasks than the limit. */
  readonly nodesOverLimit: number;
}

/** Counts the tasks on the nodes. */
export function measureTaskSlotUsage(nodes: Iterable<Pick<Node, 'attempts'>>): TaskSlotUsage {
  let mostTasks = 0;
  let nodesAtLimit = 0;
  let nodesOverLimit = 0;
  for (const { attempts } of nodes) {
    mostTasks = Math.max(mostTasks, attempts.size);
    if (attempts.size >= MAX_TASKS_PER_NODE) nodesAtLimit++;
    if (attempts.size > MAX_TASKS_PER_NODE) nodesOverLimit++;
  }
  return { limit: MAX_TASKS_PER_NODE, mostTasks, nodesAtLimit, nodesOverLimit };
}

/**
 * Logs when a node begins and ceases to hold more tasks than the limit. The scheduler places no more than that, but a
 * former version may have.
 */
export class TaskLimitMonitor {
  private readonly nodesOverLimit = new WeakSet<Node>();

  constructor(private readonly log: Logger) {}

  /** Compares the number of tasks on the node with the limit. To be called after the worker has listed its tasks. */
  check(node: Node): void {
    const isOverLimit = node.attempts.size > MAX_TASKS_PER_NODE;
    if (isOverLimit === this.nodesOverLimit.has(node)) return;
    const fields = { node: node.name, tasks: node.attempts.size, limit: MAX_TASKS_PER_NODE };
    if (isOverLimit) {
      this.nodesOverLimit.add(node);
      this.log.warn(fields, 'node holds more tasks than the limit');
    } else {
      this.nodesOverLimit.delete(node);
      this.log.info(fields, 'node no longer holds more tasks than the limit');
    }
  }
}
