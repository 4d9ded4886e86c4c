/**
 * The persisted part of a job: its last known record, its completed tasks, and which of these are persisted. The record
 * holds the first segment of the bitmap of completed tasks. Each further segment has a key and a revision of its own.
 */
import { TASKS_PER_COMPLETION_SEGMENT } from '../constants.js';
import { CompletionBitmap } from '../state/completion-bitmap.js';
import {
  decodeCompletionSegment,
  encodeCompletionSegment,
  type JobRecord,
  type JobSpec,
} from '../state/records.js';
import type { WireInt } from '../wire/json.js';

/** The write of one segment of the bitmap of completed tasks. */
export interface SegmentWrite {
  /** Number of the segment, starting at 1. Segment 0 is part of the job's record. */
  readonly segmentIndex: number;
  /** The bitmap of the segment in base64. */
  readonly encodedBitmap: string;
  /** The write is applied only if the key still has this revision. 0 means that the key must not exist. */
  readonly modRevision: WireInt;
}

/** One write of a job to the state store. */
export interface JobWrite {
  /** The new value of the job's key. */
  readonly record: JobRecord;
  /** The write is applied only if the job's key still has this revision. */
  readonly modRevision: WireInt;
  /** The segments of completed tasks that are written in the same transaction. */
  readonly segments: readonly SegmentWrite[];
}

/** The fields of a job's record that change during a term, except for the completed tasks. */
export type JobRecordState = Readonly<Pick<JobRecord, 'phase' | 'memberStates' | 'isSuccessorRunning'>>;

/** The persisted state of one job and the writes to it. At most one write is in progress at a time. */
export class JobPersistence {
  private knownRecord: JobRecord;
  private knownModRevision: WireInt;
  private readonly completedTasks: CompletionBitmap;
  private readonly persistedTasks: CompletionBitmap;
  /** Revision of the key of each segment beyond the first that is known to be stored. */
  private readonly segmentRevisions = new Map<number, WireInt>();
  /** Segments beyond the first with completed tasks that are not part of any write yet. */
  private readonly dirtySegments = new Set<number>();
  private isWriting = false;
  private noWriteBeforeMs = -Infinity;

  constructor(record: JobRecord, modRevision: WireInt) {
    this.knownRecord = record;
    this.knownModRevision = modRevision;
    this.completedTasks = new CompletionBitmap(record.taskCount);
    this.persistedTasks = new CompletionBitmap(record.taskCount);
    this.mergeCompletedTasks(0, record.firstCompletionSegment);
  }

  /** The record that the state store is known to hold. */
  get record(): JobRecord {
    return this.knownRecord;
  }

  /** The stored form of the job's specification. It may refer to the dependency list in place of containing it. */
  get storedSpec(): JobSpec | undefined {
    return this.knownRecord.spec;
  }

  /** Number of completed tasks, whether persisted or not. */
  get completedTaskCount(): number {
    return this.completedTasks.completedCount;
  }

  /** Whether a task is completed. The completion may not be persisted yet. */
  isCompleted(task: number): boolean {
    return this.completedTasks.has(task);
  }

  /** Whether the completion of a task is persisted. If so, the worker may discard the attempt. */
  isCompletionPersisted(task: number): boolean {
    return this.persistedTasks.has(task);
  }

  /** Whether a write was sent whose result is not known yet. */
  get isWriteInProgress(): boolean {
    return this.isWriting;
  }

  /** Wall time, in milliseconds, before which the job is not written. */
  get earliestWriteMs(): number {
    return this.noWriteBeforeMs;
  }

  /** Marks a task as completed. Returns false if it was already completed, or if the job has no such task. */
  markCompleted(task: number): boolean {
    if (!this.completedTasks.add(task)) return false;
    const segment = Math.floor(task / TASKS_PER_COMPLETION_SEGMENT);
    if (segment > 0) this.dirtySegments.add(segment);
    return true;
  }

  /** Applies a record that was read. Returns false and ignores it if it is not newer than the known one. */
  applyRecord(record: JobRecord, modRevision: WireInt): boolean {
    if (modRevision <= this.knownModRevision) return false;
    this.knownModRevision = modRevision;
    this.knownRecord = record;
    this.mergeCompletedTasks(0, record.firstCompletionSegment);
    return true;
  }

  /** Applies a segment that was read. Ignores it if it is not newer than the known one. */
  applySegment(segment: number, value: unknown, modRevision: WireInt): void {
    if (modRevision <= this.getSegmentRevision(segment)) return;
    this.mergeCompletedTasks(segment, String(value));
    this.segmentRevisions.set(segment, modRevision);
  }

  /** Whether the state store lacks some completed tasks, or holds a state that differs from the given one. */
  differsFrom({ phase, memberStates, isSuccessorRunning }: JobRecordState): boolean {
    return (
      this.dirtySegments.size > 0 ||
      this.knownRecord.phase !== phase ||
      this.knownRecord.memberStates !== memberStates ||
      this.knownRecord.isSuccessorRunning !== isSuccessorRunning ||
      this.completedTasks.completedCount !== this.persistedTasks.completedCount
    );
  }

  /**
   * Starts a write of the record and of at most `maxSegments` segments. If segments remain for a later write, the
   * record keeps phase `open` and the persisted member states, because a job must not be stored as done before all its
   * completed tasks are stored.
   */
  beginWrite(record: Omit<JobRecord, 'firstCompletionSegment'>, maxSegments: number): JobWrite {
    this.isWriting = true;
    const segments = [...this.dirtySegments].slice(0, maxSegments).map((segment): SegmentWrite => ({
      segmentIndex: segment,
      encodedBitmap: encodeCompletionSegment(this.completedTasks, segment),
      modRevision: this.getSegmentRevision(segment),
    }));
    const hasRemainingSegments = segments.length < this.dirtySegments.size;
    for (const { segmentIndex } of segments) this.dirtySegments.delete(segmentIndex);
    const encodedFirstSegment = encodeCompletionSegment(this.completedTasks, 0);
    const persistedState = { phase: 'open' as const, memberStates: this.knownRecord.memberStates };
    return {
      record: {
        ...record,
        firstCompletionSegment: encodedFirstSegment,
        ...(hasRemainingSegments ? persistedState : {}),
      },
      modRevision: this.knownModRevision,
      segments,
    };
  }

  /** Ends a write that was applied with the given revision. */
  completeWrite({ record, segments }: JobWrite, revision: WireInt): void {
    this.isWriting = false;
    this.knownModRevision = revision;
    this.knownRecord = record;
    decodeCompletionSegment(this.persistedTasks, 0, record.firstCompletionSegment);
    for (const { segmentIndex, encodedBitmap } of segments) {
      this.segmentRevisions.set(segmentIndex, revision);
      decodeCompletionSegment(this.persistedTasks, segmentIndex, encodedBitmap);
    }
  }

  /** Ends a write that was not applied, or whose outcome is unknown. Its segments have to be written again. */
  abortWrite({ segments }: JobWrite): void {
    this.isWriting = false;
    for (const { segmentIndex } of segments) this.dirtySegments.add(segmentIndex);
  }

  /** Postpones all writes of the job until the given wall time in milliseconds. */
  postponeWritesUntil(untilWallMs: number): void {
    this.noWriteBeforeMs = untilWallMs;
  }

  private getSegmentRevision(segment: number): WireInt {
    return this.segmentRevisions.get(segment) ?? 0;
  }

  private mergeCompletedTasks(segment: number, encodedBitmap: string): void {
    decodeCompletionSegment(this.completedTasks, segment, encodedBitmap);
    decodeCompletionSegment(this.persistedTasks, segment, encodedBitmap);
  }
}
