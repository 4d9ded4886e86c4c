/**
 * Encodes and decodes the cloud provider's wire format. Only this module knows the paths and field names of that
 * format. All other code works with the types declared here.
 */
import type { InstanceOffering, LaunchRefusalReason, LaunchRequest } from '@pumicehinge/duties';
import { INSTANCE_LIST_PAGE_SIZE } from '../constants.js';
import type { InstanceType } from '../state/records/instance-types.js';
import { isJsonObject, parseJson } from '../wire/json.js';

export type { InstanceOffering, LaunchRequest } from '@pumicehinge/duties';
export type { InstanceType } from '../state/records/instance-types.js';

/** An instance as the cloud lists it. */
export interface CloudInstance {
  readonly name: string;
  /** Address of the instance's worker. Empty while the instance boots. */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly phase: 'booting' | 'running' | 'failed';
  /** Seconds since its launch. */
  readonly ageS: number;
}

/** One page of the instance list. */
export interface InstancePage {
  readonly instances: CloudInstance[];
  /** Whether another page follows. */
  readonly hasMore: boolean;
}

/** Thrown if the cloud responds with a body that does not have the expected form. */
export class MalformedCloudResponseError extends Error {
  override readonly name = 'MalformedCloudResponseError';

  constructor(
    /** The form that the body should have had. */
    readonly expected: string,
    options?: ErrorOptions,
  ) {
    super(`cloud response is not ${expected}`, options);
  }
}

/** Request target that launches instances (POST). */
export const LAUNCH_TARGET = '/hosts';
/** Request target that terminates instances (POST). */
export const TERMINATE_TARGET = '/hosts/return';
/** Request target that reads the catalog (GET). */
export const CATALOG_TARGET = '/catalog';

/**
 * Request target that reads a page of the instance list (GET). The page starts after the instance `afterName`, or with
 * the first instance if the name is empty.
 */
export function formatInstanceListTarget(afterName: string): string {
  const sinceParameter = afterName === '' ? '' : `since=${afterName}&`;
  return `/hosts?${sinceParameter}page=${INSTANCE_LIST_PAGE_SIZE}`;
}

/** The key that identifies an offering in maps. */
export const formatOfferingKey = (offering: InstanceOffering): string =>
  `${offering.type}/${offering.zone}/${offering.spot ? 'spot' : 'ordinary'}`;

/** Decodes the catalog. Throws {@link MalformedCloudResponseError}. */
export function decodeCatalog(text: string): InstanceType[] {
  const list = parseObject(text).builds;
  if (!Array.isArray(list)) throw new MalformedCloudResponseError('a catalog');
  return list.filter(isJsonObject).map(decodeInstanceType);
}

/**
 * Decodes a page of the instance list. A body without a list counts as an empty page. Throws
 * {@link MalformedCloudResponseError}.
 */
export function decodeInstancePage(text: string): InstancePage {
  const body = parseObject(text);
  const list = Array.isArray(body.hearths) ? body.hearths : [];
  return { instances: list.filter(isJsonObject).map(decodeInstance), hasMore: body.more === true };
}

/**
 * Decodes the names of launched instances. The result is empty if the body has no list. Throws
 * {@link MalformedCloudResponseError}.
 */
export function decodeLaunchedNames(text: string): string[] {
  const list = parseObject(text).hearths;
  return Array.isArray(list) ? list.map(String) : [];
}

/** Decodes why a launch was refused. It never throws, because any unknown body counts as a fault of the cloud. */
export function decodeRefusalReason(text: string): LaunchRefusalReason {
  return text.includes('no capacity') ? 'no capacity' : 'trouble';
}

/** Encodes the body of a launch request. Repeating a request under the same name launches nothing twice. */
export function encodeLaunch({ requestName, offering, nodeCount }: LaunchRequest): unknown {
  return {
    ask: requestName,
    build: offering.type,
    yard: offering.zone,
    loaner: offering.spot,
    howMany: nodeCount,
  };
}

/** Encodes the body of a request that terminates instances. */
export function encodeTermination(names: readonly string[]): unknown {
  return { hearths: names };
}

function parseObject(text: string): Record<string, unknown> {
  let body: unknown;
  try {
    body = parseJson(text);
  } catch (cause) {
    throw new MalformedCloudResponseError('JSON', { cause });
  }
  if (!isJsonObject(body)) throw new MalformedCloudResponseError('an object');
  return body;
}

function decodeInstanceType(entry: Record<string, unknown>): InstanceType {
  return {
    name: String(entry.sku),
    cpus: Number(entry.cpus),
    accelerators: Number(entry.accelerators ?? 0),
    memGb: Number(entry.memGb),
    cacheGb: Number(entry.cacheGb),
    pullGbPerS: Number(entry.pullGbPerS),
    price: Number(entry.price),
    spotPrice: Number(entry.spotPrice),
    bootS: Number(entry.bootS),
    zones: Array.isArray(entry.yards) ? entry.yards.map(String) : [],
  };
}

function decodeInstance(entry: Record<string, unknown>): CloudInstance {
  const address: unknown = entry.address ?? '';
  return {
    name: String(entry.uid),
    address: String(address),
    type: String(entry.build),
    zone: String(entry.yard),
    spot: entry.loaner === true,
    phase: decodePhase(entry.phase),
    ageS: Number(entry.ageS ?? 0),
  };
}

/** An unknown phase counts as running. */
function decodePhase(phase: unknown): CloudInstance['phase'] {
  return phase === 'failed' || phase === 'booting' ? phase : 'running';
}
