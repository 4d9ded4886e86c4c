/** Duties that one controller at a time holds by a lease, and the recorded orders that it carries out. */
export { Duties, type DutiesDeps } from './duties.js';
export { DutyLeases, type DutyGrant } from './duty-leases.js';
export { LeaseAuthority } from './lease-authority.js';
export { OrderBook, type InheritedOrders, type OrderEvent } from './order-book.js';
export { OrderExecutor } from './order-executor.js';
export { OrderIndex } from './order-index.js';
export type * from './ports.js';
export {
  decodeHolder,
  decodeOrder,
  DUTIES,
  encodeOrder,
  holderKey,
  nextToken,
  orderKey,
  ORDERS,
  tokenKey,
  type Duty,
  type GiveBackDuty,
  type Offer,
  type Order,
  type OrderDuty,
  type OrderState,
} from './records.js';
export { StateCleanup, type RemovableRow } from './state-cleanup.js';
