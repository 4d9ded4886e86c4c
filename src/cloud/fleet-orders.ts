import type { GiveBackDuty, InheritedOrders } from '@pumicehinge/duties';
import type { Cloud, Rental } from './cloud.js';

/** How a leader has machines rented and given back. */
export interface FleetOrders {
  rent(rental: Rental): void;
  giveBack(duty: GiveBackDuty, names: string[]): void;
  /** What earlier terms have irrevocably begun. */
  inherited(): InheritedOrders;
  stop(): void;
}

/** The leader calls the cloud itself; what an earlier one asked for shows in the machine list. */
export class DirectOrders implements FleetOrders {
  constructor(private readonly cloud: Cloud) {}

  rent(rental: Rental): void {
    this.cloud.send({ kind: 'rent', rental });
  }

  giveBack(_duty: GiveBackDuty, names: string[]): void {
    this.cloud.send({ kind: 'returnMachines', names });
  }

  inherited(): InheritedOrders {
    return { renting: [], rented: [], leaving: [], gone: [] };
  }

  stop(): void {
    // The cloud's actor belongs to the leader, which stops it.
  }
}
