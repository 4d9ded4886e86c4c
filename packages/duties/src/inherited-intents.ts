/** The intents of earlier terms that a new leader has to respect. */
import { toLaunchRequest, type InstanceOffering, type Intent, type LaunchRequest } from './intents.js';

/**
 * Intents that earlier terms have irrevocably begun. The leader must make no conflicting decision about their nodes.
 */
export interface InheritedIntents {
  /** Launch requests that a role holder is executing. */
  readonly launchesInProgress: LaunchRequest[];
  /** Nodes of recently completed launches. */
  readonly completedLaunches: { names: string[]; offering: InstanceOffering }[];
  /** Names of nodes that are being terminated. No task may be placed on them any more. */
  readonly nodesBeingTerminated: string[];
  /** Names of recently terminated nodes. */
  readonly terminatedNodes: string[];
}

/** Sorts intents by their meaning for a new leader. Intents that are only requested became void with their term. */
export function collectInheritedIntents(intents: Iterable<Intent>): InheritedIntents {
  const inherited: InheritedIntents = {
    launchesInProgress: [],
    completedLaunches: [],
    nodesBeingTerminated: [],
    terminatedNodes: [],
  };
  for (const intent of intents) {
    if (intent.state === 'requested') continue;
    const isCompleted = intent.state === 'completed';
    if (intent.role !== 'rent') {
      (isCompleted ? inherited.terminatedNodes : inherited.nodesBeingTerminated).push(...intent.nodeNames);
      continue;
    }
    const { offering, outcome } = intent;
    if (!isCompleted) inherited.launchesInProgress.push(toLaunchRequest(intent));
    else if (outcome && 'names' in outcome)
      inherited.completedLaunches.push({ names: outcome.names, offering });
  }
  return inherited;
}
