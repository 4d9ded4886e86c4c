/**
 * The stored form of node leases that a controller renews because a network partition separates the nodes from the
 * leader.
 */
import { isJsonObject } from '../../wire/json.js';

/** The nodes whose leases a controller renews in place of the leader. */
export interface DelegatedLeasesRecord {
  /** The leader's term in which the controller began to renew them. */
  readonly term: number;
  /** The names of the nodes. */
  readonly nodeNames: readonly string[];
}

/** Encodes delegated leases. */
export function encodeDelegatedLeases({ term, nodeNames }: DelegatedLeasesRecord): unknown {
  return { t: term, m: nodeNames };
}

/** Decodes delegated leases. Returns undefined if the stored form is malformed. */
export function decodeDelegatedLeases(value: unknown): DelegatedLeasesRecord | undefined {
  if (!isJsonObject(value) || !Array.isArray(value.m)) return undefined;
  return { term: Number(value.t), nodeNames: value.m.map(String) };
}
