/**
 * Tracks the dependencies between jobs. A submission names the jobs that must be done before the submitted job can run.
 * Each job is a member of a pipeline in the sense of the InterBase paper, with the predicate "all predecessors
 * succeeded". The state store holds one phase per job. This module derives the states of the pipeline members from
 * these phases.
 */
import type { JobPhase } from '../state/records.js';
import {
  ALWAYS_TRUE,
  and,
  findExecutableMembers,
  succeeded,
  type MemberState,
  type Pipeline,
} from './pipeline.js';

/** The parts of a stored job that determine its dependency status and that of its dependents. */
export interface StoredJobDependencies {
  /** Whether the job is open, done or cancelled. */
  readonly phase: JobPhase;
  /** Uids of the jobs that must be done before this one. Undefined if they are stored but can't be read yet. */
  readonly dependencies: readonly string[] | undefined;
}

/**
 * Whether a job's dependencies allow it to run. A job is `ready` if all its dependencies are done, or if it has none.
 * It is `cancelled` if the job itself or any of its direct or indirect dependencies is cancelled.
 */
export type DependencyStatus = 'ready' | 'waiting' | 'cancelled';

const MEMBER_STATE_BY_PHASE = { open: 'N', done: 'S', cancelled: 'F' } as const satisfies Record<
  JobPhase,
  MemberState
>;

/** The states that a job can have in the graph. The graph does not know whether a job is being executed. */
type GraphMemberState = (typeof MEMBER_STATE_BY_PHASE)[JobPhase];

/** Name of the waiting job in the pipeline that is built to find out whether the job is executable. */
const DEPENDENT_NAME = '';

/** Whether a job is executable if its dependencies are in the given states (definition 5 of the paper). */
export function isExecutable(predecessorStates: readonly MemberState[]): boolean {
  const predecessorNames = predecessorStates.map((_, index) => String(index));
  const pipeline: Pipeline = {
    members: [
      ...predecessorNames.map((name) => ({ name, predecessors: [], predicate: ALWAYS_TRUE })),
      {
        name: DEPENDENT_NAME,
        predecessors: predecessorNames,
        predicate: and(...predecessorNames.map(succeeded)),
      },
    ],
    acceptableStates: ['S'.repeat(predecessorNames.length + 1)],
    valueSteps: [],
  };
  return findExecutableMembers(pipeline, `${predecessorStates.join('')}N`).includes(DEPENDENT_NAME);
}

/** An open job, or a job that an open job depends on and whose own stored value has not been read yet. */
interface GraphMember {
  /** Whether the job's stored value was read together with its dependencies. Until then the job is not ready. */
  isLoaded: boolean;
  /** The state that follows from the job's stored phase. It is also F if one of the job's dependencies has failed. */
  state: GraphMemberState;
  dependencies: readonly string[];
  /** Number of the job's dependencies that have not succeeded. */
  unmetDependencyCount: number;
  isReady: boolean;
  /** Uids of the jobs that depend on this one. */
  readonly dependents: Set<string>;
}

/**
 * Computes the dependency status of each job. The status follows from stored values alone, so that all controllers
 * agree on it. The dependents of a cancelled job count as cancelled even before their own cancellation is stored. The
 * cost of a change is proportional to the number of edges that it affects. A job that is done or cancelled, or that has
 * neither dependencies nor dependents, is not kept in the graph.
 */
export class DependencyGraph {
  private readonly members = new Map<string, GraphMember>();

  constructor(private readonly readStoredJob: (uid: string) => StoredJobDependencies | undefined) {}

  /** Number of jobs in the graph. These are the open jobs with dependencies or dependents. */
  get size(): number {
    return this.members.size;
  }

  /** Updates the graph with the stored value of a job that is new or changed. */
  updateJob(uid: string, stored: StoredJobDependencies): void {
    const isOpen = stored.phase === 'open';
    let member = this.members.get(uid);
    if (!member && (!isOpen || stored.dependencies?.length === 0)) return;
    member ??= this.addMember(uid);
    if (isOpen && !member.isLoaded) this.linkDependencies(uid, member, stored.dependencies);
    member.isLoaded = !isOpen || stored.dependencies !== undefined;
    if (stored.phase === 'done') this.markSucceeded(member);
    else if (stored.phase === 'cancelled') this.markFailed(uid);
    // Jobs that are stored later and depend on this one read its final phase from the stored value.
    if (!isOpen) this.members.delete(uid);
  }

  /** Returns the status of a job. A job that is not in the graph is ready. */
  getStatus(uid: string): DependencyStatus {
    const member = this.members.get(uid);
    if (!member) return 'ready';
    if (member.state === 'F') return 'cancelled';
    return member.isReady ? 'ready' : 'waiting';
  }

  private addMember(uid: string): GraphMember {
    const member: GraphMember = {
      isLoaded: false,
      state: 'N',
      dependencies: [],
      unmetDependencyCount: 0,
      isReady: false,
      dependents: new Set(),
    };
    this.members.set(uid, member);
    return member;
  }

  private linkDependencies(
    uid: string,
    member: GraphMember,
    dependencies: readonly string[] | undefined,
  ): void {
    // A job whose dependencies can't be read has to wait.
    if (!dependencies) return;
    member.dependencies = dependencies;
    let hasFailedDependency = false;
    for (const dependencyUid of dependencies) {
      const dependency = this.members.get(dependencyUid) ?? this.resolveFirstReference(dependencyUid);
      if (dependency === 'S') continue;
      if (dependency === 'F' || dependency.state === 'F') {
        hasFailedDependency = true;
      } else {
        dependency.dependents.add(uid);
        member.unmetDependencyCount++;
      }
    }
    if (hasFailedDependency) this.markFailed(uid);
    else if (member.unmetDependencyCount === 0) this.updateReadiness(member);
  }

  /**
   * Handles the first reference to a job that is not in the graph. Returns the state in which the job ended, or a new
   * member if the job is open or not stored yet.
   */
  private resolveFirstReference(uid: string): GraphMember | 'S' | 'F' {
    const stored = this.readStoredJob(uid);
    if (stored && stored.phase !== 'open') return MEMBER_STATE_BY_PHASE[stored.phase];
    const member = this.addMember(uid);
    // An open job with dependencies would already be in the graph.
    member.isLoaded = stored !== undefined;
    member.isReady = member.isLoaded;
    return member;
  }

  private markSucceeded(member: GraphMember): void {
    if (member.state !== 'N') return;
    member.state = 'S';
    for (const dependentUid of member.dependents) {
      const dependent = this.members.get(dependentUid);
      if (dependent && --dependent.unmetDependencyCount === 0) this.updateReadiness(dependent);
    }
    member.dependents.clear();
  }

  private updateReadiness(member: GraphMember): void {
    member.isReady = isExecutable(
      member.dependencies.map((dependencyUid) => this.getMemberState(dependencyUid)),
    );
  }

  private getMemberState(uid: string): GraphMemberState {
    const member = this.members.get(uid);
    if (member) return member.state;
    const stored = this.readStoredJob(uid);
    return stored ? MEMBER_STATE_BY_PHASE[stored.phase] : 'N';
  }

  /** Marks a job and all its direct and indirect dependents as failed, because their predicates can't become true. */
  private markFailed(uid: string): void {
    const remainingUids = [uid];
    for (let failingUid = remainingUids.pop(); failingUid !== undefined; failingUid = remainingUids.pop()) {
      const member = this.members.get(failingUid);
      if (member?.state !== 'N') continue;
      member.state = 'F';
      remainingUids.push(...member.dependents);
      member.dependents.clear();
    }
  }
}
