/** The execution of one pipeline. Submissions, successes and failures change the states of its members. */
import {
  createInitialStates,
  determineEnding,
  findExecutableMembers,
  getMemberState,
  isExecuting,
  withMemberState,
  type MemberState,
  type MemberStates,
  type Pipeline,
  type PipelineEnding,
  type ValueStep,
} from './pipeline.js';

/** A pipeline with the current states of its members. */
export class PipelineExecution {
  constructor(
    private pipeline: Pipeline,
    private states: MemberStates,
  ) {}

  /** The states of the members, in the order of the pipeline. */
  get memberStates(): MemberStates {
    return this.states;
  }

  /** The steps of the pipeline's value function. */
  get valueSteps(): readonly ValueStep[] {
    return this.pipeline.valueSteps;
  }

  /** Whether any member is being executed. */
  get isExecuting(): boolean {
    return isExecuting(this.states);
  }

  /**
   * Returns the state of one member.
   * @throws {UnknownPipelineMemberError} if the pipeline has no such member.
   */
  getMemberState(memberName: string): MemberState {
    return getMemberState(this.pipeline, this.states, memberName);
  }

  /** Submits every member that is currently executable. */
  submitExecutableMembers(): void {
    for (const memberName of findExecutableMembers(this.pipeline, this.states))
      this.setMemberState(memberName, 'E');
  }

  /** Marks a member as failed and submits the alternatives that thereby become executable. */
  failMember(memberName: string): void {
    this.setMemberState(memberName, 'F');
    this.submitExecutableMembers();
  }

  /** Marks every member that is being executed as succeeded. */
  succeedExecutingMembers(): void {
    for (const { name } of this.pipeline.members)
      if (this.getMemberState(name) === 'E') this.setMemberState(name, 'S');
  }

  /** Returns how the pipeline ends `ageS` seconds after its submission, or undefined if it goes on. */
  determineEnding(ageS: number): PipelineEnding | undefined {
    return determineEnding(this.pipeline, this.states, ageS);
  }

  /**
   * Replaces the pipeline with a successor in its initial state. If the old pipeline was being executed, submits the
   * executable members of the successor.
   */
  replaceWith(successor: Pipeline): void {
    const wasExecuting = this.isExecuting;
    this.pipeline = successor;
    this.states = createInitialStates(successor);
    if (wasExecuting) this.submitExecutableMembers();
  }

  private setMemberState(memberName: string, state: MemberState): void {
    this.states = withMemberState(this.pipeline, this.states, memberName, state);
  }
}
