/**
 * The stored form of nodes. Nodes that were launched together share a value, so that hundreds of nodes take few writes.
 */
import { isJsonObject } from '../../wire/json.js';

/** A group of nodes of the same instance offering. */
export interface NodeGroupRecord {
  /** The name of the nodes' instance type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Addresses of the nodes by name. The address is undefined while a node boots, when it certainly runs no task. */
  readonly nodeAddresses: ReadonlyMap<string, string | undefined>;
}

/** Stored in place of the address while a node boots. */
const NO_ADDRESS = 0;

/** Encodes a group of nodes. */
export function encodeNodeGroup({ type, zone, spot, nodeAddresses }: NodeGroupRecord): unknown {
  const storedAddresses: Record<string, string | typeof NO_ADDRESS> = {};
  for (const [name, address] of nodeAddresses) storedAddresses[name] = address ?? NO_ADDRESS;
  return { t: type, z: zone, s: spot ? 1 : 0, m: storedAddresses };
}

/** Decodes a group of nodes. Returns undefined if the stored form is malformed. */
export function decodeNodeGroup(value: unknown): NodeGroupRecord | undefined {
  if (!isJsonObject(value) || !isJsonObject(value.m)) return undefined;
  const nodeAddresses = new Map<string, string | undefined>();
  for (const [name, address] of Object.entries(value.m))
    nodeAddresses.set(name, typeof address === 'string' ? address : undefined);
  return { type: String(value.t), zone: String(value.z), spot: value.s === 1, nodeAddresses };
}

/**
 * Whether a stored group contains a node. The group is not decoded, as in a partition each heartbeat needs this check.
 */
export function nodeGroupContains(value: unknown, nodeName: string): boolean {
  return isJsonObject(value) && isJsonObject(value.m) && Object.hasOwn(value.m, nodeName);
}
