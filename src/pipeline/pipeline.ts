/**
 * Pure functions for flexible transactions (InterBase, sections 3.1 and 3.2). A pipeline has members with precedence
 * predicates and a partial order, a list of acceptable combinations of their states, and a stepwise value function.
 */

import { assertNever } from '@pumicehinge/runtime';

/**
 * State of a member, with the letters of the paper: N for not submitted, E for being executed, S for succeeded, F for
 * failed.
 */
export type MemberState = 'N' | 'E' | 'S' | 'F';

/** The states of all members of a pipeline, with one letter per member, in the order of the members. */
export type MemberStates = string;

/** A predicate over the states of a pipeline's members, built from the two basic dependencies of the paper. */
export type Predicate =
  | { readonly kind: 'true' }
  /** Positive dependency. It holds if the member succeeded. */
  | { readonly kind: 'succeeded'; readonly member: string }
  /** Negative dependency. It holds if the member failed. */
  | { readonly kind: 'failed'; readonly member: string }
  | { readonly kind: 'and'; readonly operands: readonly Predicate[] }
  | { readonly kind: 'or'; readonly operands: readonly Predicate[] };

/** A part of a pipeline that is submitted as a whole, and succeeds or fails as a whole. */
export interface PipelineMember {
  /** Name that is unique within the pipeline. */
  readonly name: string;
  /** Names of the members that precede this one in the partial order. */
  readonly predecessors: readonly string[];
  /** Predicate that must hold for this member to be submitted. */
  readonly predicate: Predicate;
}

/** A step of a value function. */
export interface ValueStep {
  /** Age of the pipeline, in seconds since its submission, up to which completion has this value. */
  readonly untilS: number;
  /** Value of the completion, from 0 to 1. */
  readonly value: number;
}

/** A flexible transaction. */
export interface Pipeline {
  /** The members, in the order of the letters of `MemberStates`. */
  readonly members: readonly PipelineMember[];
  /** The combinations of member states in which the objective of the pipeline is reached. */
  readonly acceptableStates: readonly MemberStates[];
  /**
   * The steps of the value function, with increasing times and decreasing values. Completion has no value after the
   * last step, whose time is called t0. Empty if there is no t0.
   */
  readonly valueSteps: readonly ValueStep[];
}

/**
 * How a pipeline ends. It is `acceptable` if its objective is reached, `stuck` if no member is left to execute, and
 * `expired` after t0.
 */
export type PipelineEnding = 'acceptable' | 'stuck' | 'expired';

/** Thrown if a pipeline has no member with the given name. */
export class UnknownPipelineMemberError extends Error {
  override readonly name = 'UnknownPipelineMemberError';

  /** Creates the error for `member`, the name that the pipeline does not have. */
  constructor(readonly member: string) {
    super(`the pipeline has no member ${member}`);
  }
}

/** The predicate of a member that may be submitted immediately. */
export const ALWAYS_TRUE: Predicate = { kind: 'true' };

/** Creates a predicate that holds once the member succeeded. */
export const succeeded = (member: string): Predicate => ({ kind: 'succeeded', member });

/** Creates a predicate that holds once the member failed. */
export const failed = (member: string): Predicate => ({ kind: 'failed', member });

/** Creates a predicate that holds while all operands hold. */
export const and = (...operands: readonly Predicate[]): Predicate => ({ kind: 'and', operands });

/** Creates a predicate that holds while at least one of the operands holds. */
export const or = (...operands: readonly Predicate[]): Predicate => ({ kind: 'or', operands });

/** Returns the states of a pipeline of which no member was submitted yet. */
export function createInitialStates(pipeline: Pipeline): MemberStates {
  return 'N'.repeat(pipeline.members.length);
}

/** Whether any member is being executed. */
export function isExecuting(states: MemberStates): boolean {
  return states.includes('E');
}

/**
 * Returns the state of one member.
 * @throws {UnknownPipelineMemberError} if the pipeline has no such member.
 */
export function getMemberState(pipeline: Pipeline, states: MemberStates, memberName: string): MemberState {
  return states[getMemberIndex(pipeline, memberName)] as MemberState;
}

/**
 * Returns the states of all members after the state of one member is replaced.
 * @throws {UnknownPipelineMemberError} if the pipeline has no such member.
 */
export function withMemberState(
  pipeline: Pipeline,
  states: MemberStates,
  memberName: string,
  state: MemberState,
): MemberStates {
  const index = getMemberIndex(pipeline, memberName);
  return states.slice(0, index) + state + states.slice(index + 1);
}

/** Whether a predicate holds if the members are in the given states. */
export function isPredicateTrue(pipeline: Pipeline, states: MemberStates, predicate: Predicate): boolean {
  switch (predicate.kind) {
    case 'true':
      return true;
    case 'succeeded':
      return getMemberState(pipeline, states, predicate.member) === 'S';
    case 'failed':
      return getMemberState(pipeline, states, predicate.member) === 'F';
    case 'and':
      return predicate.operands.every((operand) => isPredicateTrue(pipeline, states, operand));
    case 'or':
      return predicate.operands.some((operand) => isPredicateTrue(pipeline, states, operand));
    default:
      return assertNever(predicate);
  }
}

/**
 * Returns the names of the members that can be submitted now (definition 5). Such a member is not submitted yet, its
 * own predicate holds, and each predecessor has succeeded or failed, or has a predicate that does not hold.
 */
export function findExecutableMembers(pipeline: Pipeline, states: MemberStates): string[] {
  const isPredecessorPassed = (name: string): boolean => {
    const index = getMemberIndex(pipeline, name);
    const predecessor = pipeline.members[index];
    if (states[index] === 'S' || states[index] === 'F') return true;
    return predecessor !== undefined && !isPredicateTrue(pipeline, states, predecessor.predicate);
  };
  return pipeline.members
    .filter(
      ({ predecessors, predicate }, index) =>
        states[index] === 'N' &&
        predecessors.every(isPredecessorPassed) &&
        isPredicateTrue(pipeline, states, predicate),
    )
    .map((member) => member.name);
}

/**
 * Returns the age t0 of the paper: the seconds since submission after which completion has no value. Null if completion
 * never loses its value.
 */
export function getExpiryAgeS(pipeline: Pipeline): number | null {
  return pipeline.valueSteps.at(-1)?.untilS ?? null;
}

/** Returns the value of completing a pipeline `ageS` seconds after its submission. */
export function getCompletionValue(pipeline: Pipeline, ageS: number): number {
  if (pipeline.valueSteps.length === 0) return 1;
  return pipeline.valueSteps.find((step) => ageS <= step.untilS)?.value ?? 0;
}

/**
 * Returns how a pipeline in the given states ends `ageS` seconds after its submission, or undefined if it goes on
 * (section 3.2, rule 4).
 */
export function determineEnding(
  pipeline: Pipeline,
  states: MemberStates,
  ageS: number,
): PipelineEnding | undefined {
  if (pipeline.acceptableStates.includes(states)) return 'acceptable';
  const expiryAgeS = getExpiryAgeS(pipeline);
  if (expiryAgeS !== null && ageS >= expiryAgeS) return 'expired';
  if (!isExecuting(states) && findExecutableMembers(pipeline, states).length === 0) return 'stuck';
  return undefined;
}

const memberIndexesByPipeline = new WeakMap<Pipeline, ReadonlyMap<string, number>>();

/**
 * Returns the position of a member. The names are indexed once per pipeline, because a pipeline may have thousands of
 * members.
 */
function getMemberIndex(pipeline: Pipeline, memberName: string): number {
  let indexes = memberIndexesByPipeline.get(pipeline);
  if (!indexes) {
    indexes = new Map(pipeline.members.map(({ name }, index) => [name, index]));
    memberIndexesByPipeline.set(pipeline, indexes);
  }
  const index = indexes.get(memberName);
  if (index === undefined) throw new UnknownPipelineMemberError(memberName);
  return index;
}
