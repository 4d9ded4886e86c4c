/** The leader's copy of the cloud's catalog of instance types. */
import type { Logger } from 'pino';
import type { InstanceType } from '../autoscaler/cloud-codec.js';
import type { Resources } from '../cluster/cluster-state.js';
import { CATALOG_KEY, decodeInstanceTypes } from '../state/records.js';
import type { StateReplica } from '../state/state-replica.js';
import { formatJson } from '../wire/json.js';
import type { CommitInTerm } from './term-transactions.js';

/** Dependencies of `InstanceCatalog`. */
export interface InstanceCatalogDependencies {
  readonly replica: StateReplica;
  readonly commit: CommitInTerm;
  readonly log: Logger;
}

/**
 * Holds the instance types that the cloud offers. They are read from the state store when a term begins, and updated
 * whenever the cloud returns its catalog.
 */
export class InstanceCatalog {
  private typesByName: ReadonlyMap<string, InstanceType>;

  constructor(private readonly dependencies: InstanceCatalogDependencies) {
    this.typesByName = indexByName(decodeInstanceTypes(dependencies.replica.get(CATALOG_KEY)?.value));
  }

  /** All instance types, by name. */
  get types(): ReadonlyMap<string, InstanceType> {
    return this.typesByName;
  }

  /** Returns the resources of a node of this type, or zero resources if the type is unknown. */
  getCapacity(typeName: string): Resources {
    const type = this.typesByName.get(typeName);
    return { cpus: type?.cpus ?? 0, accelerators: type?.accelerators ?? 0, memGb: type?.memGb ?? 0 };
  }

  /** Replaces the types with those that the cloud returned, and stores them unless only spot prices changed. */
  update(types: InstanceType[]): void {
    const previousTypes = [...this.typesByName.values()];
    this.typesByName = indexByName(types);
    if (types.length > 0 && previousTypes.length === 0) this.logInstanceTypes(types);
    const stored = this.dependencies.replica.get(CATALOG_KEY);
    // Spot prices change all the time, and the other controllers only need to know which types exist.
    if (stored && serializeWithoutSpotPrices(types) === serializeWithoutSpotPrices(previousTypes)) return;
    void this.dependencies.commit(
      [{ key: CATALOG_KEY, modRevision: stored?.modRevision ?? 0 }],
      [{ key: CATALOG_KEY, value: types }],
    );
  }

  private logInstanceTypes(types: InstanceType[]): void {
    const typeDescriptions = types.map((type) => `${type.name}: ${type.zones.join(' ')}`);
    this.dependencies.log.info({ types: typeDescriptions }, 'instance catalog loaded');
  }
}

const indexByName = (types: InstanceType[]): ReadonlyMap<string, InstanceType> =>
  new Map(types.map((type) => [type.name, type]));

const serializeWithoutSpotPrices = (types: InstanceType[]): string =>
  formatJson(types.map((type) => ({ ...type, spotPrice: 0 })));
