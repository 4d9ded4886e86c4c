import type { Logger } from 'pino';
import type { MachineType } from '../cloud/codec.js';
import type { Resources } from '../fleet/ledger.js';
import type { Mirror } from '../state/mirror.js';
import { CATALOG_KEY, decodeTypes } from '../state/records.js';
import { formatJson } from '../wire/json.js';
import type { JobStore } from './job-store.js';

/** What the catalogue of machine types needs of its leader. */
export interface CatalogueDeps {
  mirror: Mirror;
  write: JobStore['write'];
  log: Logger;
}

/** The machine types that the cloud offers: read from the state service when a term begins, then kept current. */
export class Catalogue {
  private byName = new Map<string, MachineType>();

  constructor(private readonly deps: CatalogueDeps) {
    this.byName = indexByName(decodeTypes(deps.mirror.get(CATALOG_KEY)?.value));
  }

  /** All types, by name. */
  get types(): ReadonlyMap<string, MachineType> {
    return this.byName;
  }

  /** What a machine of this type holds; nothing, for a type that is not known. */
  capacityOf(typeName: string): Resources {
    const type = this.byName.get(typeName);
    return { cpus: type?.cpus ?? 0, accelerators: type?.accelerators ?? 0, memGb: type?.memGb ?? 0 };
  }

  /** Takes over what the cloud answered, and stores it if more than the spot prices changed. */
  update(types: MachineType[]): void {
    const known = [...this.byName.values()];
    this.byName = indexByName(types);
    if (types.length > 0 && known.length === 0) this.logTypes(types);
    const row = this.deps.mirror.get(CATALOG_KEY);
    // Spot prices move all the time; the others only need to know what exists.
    if (row && withoutSpotPrices(types) === withoutSpotPrices(known)) return;
    void this.deps.write(
      [{ key: CATALOG_KEY, stamp: row?.stamp ?? 0 }],
      [{ key: CATALOG_KEY, value: types }],
    );
  }

  private logTypes(types: MachineType[]): void {
    const described = types.map((type) => `${type.name}: ${type.zones.join(' ')}`);
    this.deps.log.info({ types: described }, 'catalogue read');
  }
}

const indexByName = (types: MachineType[]): Map<string, MachineType> =>
  new Map(types.map((type) => [type.name, type]));

const withoutSpotPrices = (types: MachineType[]): string =>
  formatJson(types.map((type) => ({ ...type, spotPrice: 0 })));
