/**
 * The stored form of the completion bitmap of a job. The bitmap is split into segments, so that a large array is
 * written in parts. The first segment is in the job's own value, and each further segment has a key of its own.
 */
import { TASKS_PER_COMPLETION_SEGMENT } from '../../constants.js';
import type { CompletionBitmap } from '../completion-bitmap.js';

/** Returns the number of segments of a job with `taskCount` tasks, which is at least one. */
export function countCompletionSegments(taskCount: number): number {
  return Math.max(1, Math.ceil(taskCount / TASKS_PER_COMPLETION_SEGMENT));
}

/** Encodes a segment of a bitmap. */
export function encodeCompletionSegment(bitmap: CompletionBitmap, segment: number): string {
  return bitmap.encodeRange(segment * TASKS_PER_COMPLETION_SEGMENT, TASKS_PER_COMPLETION_SEGMENT);
}

/** Adds the completed tasks of a stored segment to a bitmap. */
export function decodeCompletionSegment(bitmap: CompletionBitmap, segment: number, stored: string): void {
  bitmap.mergeEncoded(segment * TASKS_PER_COMPLETION_SEGMENT, stored);
}

/**
 * Returns the maximum number of characters of the first segment of a job with `taskCount` tasks. Base64 takes 4
 * characters for 3 bytes.
 */
export function maxFirstSegmentLength(taskCount: number): number {
  return Math.ceil(Math.min(taskCount, TASKS_PER_COMPLETION_SEGMENT) / 8 / 3) * 4;
}
