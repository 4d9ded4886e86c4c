/** Building blocks of a controller: actors, clocks, rate limiters and lease authorities. */
export { Actor } from './actor.js';
export { PeriodicActor, type Tick } from './periodic-actor.js';
export { sleep, systemClock, type Clock } from './clock.js';
export { LeaseAuthority, type LeaseAuthorityOptions } from './lease-authority.js';
export { RateLimiter } from './rate-limiter.js';
export { assertNever, UnhandledCaseError } from './assert-never.js';
