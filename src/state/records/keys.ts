/** The keys in the state store, and the prefixes under which they are listed. */
import type { DependencyListReference } from './job-spec.js';

/** The common prefix of all keys. */
export const ROOT_PREFIX = 'ph/';
/** The current leader. The value is a `LeaderRecord`, and the key is attached to the leader's lease. */
export const LEADER_KEY = 'ph/leader';
/** The number of the latest term. */
export const TERM_KEY = 'ph/term';
/** The instance types that the cloud offers. */
export const CATALOG_KEY = 'ph/catalog';
/** The interruptions of spot instances, and the instance hours against which they are counted. */
export const SPOT_INTERRUPTIONS_KEY = 'ph/losses';
/** Jobs by their uid. */
export const JOBS_PREFIX = 'ph/j/';
/** Segments of the completion bitmaps of large arrays, except for the first, which is in the job's own value. */
export const COMPLETION_SEGMENTS_PREFIX = 'ph/d/';
/** Dependency lists that do not fit into a job's own value. */
export const DEPENDENCY_LISTS_PREFIX = 'ph/w/';
/** Groups of nodes that were launched together. */
export const NODE_GROUPS_PREFIX = 'ph/g/';
/** Node leases that a controller other than the leader renews. */
export const DELEGATED_LEASES_PREFIX = 'ph/k/';

/** Returns the key of a job. */
export const jobKey = (uid: string): string => JOBS_PREFIX + uid;

/** Whether a key belongs to a job. */
export const isJobKey = (key: string): boolean => key.startsWith(JOBS_PREFIX);

/** Returns the uid of the job with this key. */
export const parseJobUid = (key: string): string => key.slice(JOBS_PREFIX.length);

/** Returns the key of a segment of a job's completion bitmap. Segment 0 has no key of its own. */
export const completionSegmentKey = (uid: string, segment: number): string =>
  `${COMPLETION_SEGMENTS_PREFIX}${uid}/${segment}`;

/** Returns the key of a part of a job's dependency list. */
export const dependencyListKey = (uid: string, list: DependencyListReference, part: number): string =>
  `${DEPENDENCY_LISTS_PREFIX}${uid}/${list.id}-${part}`;

/** Returns the uid of the job to which the key of a completion segment or of a dependency list belongs. */
export const parseJobUidOfDetail = (key: string): string => key.split('/')[2] ?? '';

/** Returns the key of a group of nodes. */
export const nodeGroupKey = (name: string): string => NODE_GROUPS_PREFIX + name;

/**
 * Returns the key of a batch of node leases that the controller `member` renews. If `batch` is empty, the result is the
 * prefix of the keys of all batches of that controller.
 */
export const delegatedLeasesKey = (member: string, batch: string): string =>
  `${DELEGATED_LEASES_PREFIX}${member}/${batch}`;

/** Whether a key belongs to a batch of delegated leases. */
export const isDelegatedLeasesKey = (key: string): boolean => key.startsWith(DELEGATED_LEASES_PREFIX);
