/**
 * The stored form of the instance types that the cloud offers. It is a list of objects whose fields have the names of
 * the code.
 */
import { isJsonObject } from '../../wire/json.js';

/**
 * An instance type of the cloud's catalog. It is stored unchanged, so its property names are part of the stored form.
 */
export interface InstanceType {
  readonly name: string;
  readonly cpus: number;
  readonly accelerators: number;
  readonly memGb: number;
  /** Size of the image cache of a node of this type, in GB. */
  readonly cacheGb: number;
  /** Rate at which a node of this type pulls an image, in GB per second. */
  readonly pullGbPerS: number;
  /** Price of an on-demand instance per hour. */
  readonly price: number;
  /** Price of a spot instance per hour, which changes with the market. */
  readonly spotPrice: number;
  /** Time in seconds from the launch to the first heartbeat of the node, according to the catalog. */
  readonly bootS: number;
  /** Zones that offer this type. */
  readonly zones: readonly string[];
}

/**
 * Decodes the instance types. An entry with a missing or malformed name, resource, boot time or zone is skipped. The
 * other fields are not checked.
 */
export function decodeInstanceTypes(value: unknown): InstanceType[] {
  return Array.isArray(value) ? value.filter(isInstanceType) : [];
}

function isInstanceType(value: unknown): value is InstanceType {
  if (!isJsonObject(value) || typeof value.name !== 'string') return false;
  const { zones } = value;
  const amounts = [value.cpus, value.accelerators, value.memGb, value.bootS];
  return (
    amounts.every((amount) => typeof amount === 'number') &&
    Array.isArray(zones) &&
    zones.every((zone) => typeof zone === 'string')
  );
}
