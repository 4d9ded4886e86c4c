/** The intents of earlier terms that a new leader has to respect. */
import { toLaunchRequest, type InstanceOffering, type Intent, type LaunchRequest } from './intents.js';

/** Intents that earlier terms have irrevocably begun. The leader must make no other decision about their nodes. */
export interface InheritedIntents {
  /** Launch requests that a role holder is executing. */
  readonly launching: LaunchRequest[];
  /** Nodes of recently completed launches. */
  readonly launched: { names: string[]; offering: InstanceOffering }[];
  /** Names of nodes that are being terminated. No task may be placed on them any more. */
  readonly terminating: string[];
  /** Names of recently terminated nodes. */
  readonly terminated: string[];
}

/** Sorts intents by their meaning for a new leader. Intents that are only requested became void with their term. */
export function collectInheritedIntents(intents: Iterable<Intent>): InheritedIntents {
  const inherited: InheritedIntents = { launching: [], launched: [], terminating: [], terminated: [] };
  for (const intent of intents) {
    if (intent.state === 'requested') continue;
    const isCompleted = intent.state === 'completed';
    if (intent.role !== 'rent') {
      (isCompleted ? inherited.terminated : inherited.terminating).push(...intent.names);
      continue;
    }
    const { offering, outcome } = intent;
    if (!isCompleted) inherited.launching.push(toLaunchRequest(intent));
    else if (outcome && 'names' in outcome) inherited.launched.push({ names: outcome.names, offering });
  }
  return inherited;
}
