/**
 * Re-exports all constants of the service, which are grouped into one module per subject. The limits of a deployment
 * (rates, leases, sizes) are not constants: they come from the settings.
 */
export * from './constants/http.js';
export * from './constants/users.js';
export * from './constants/state-store.js';
export * from './constants/minimum-settings.js';
export * from './constants/election-and-peers.js';
export * from './constants/workers.js';
export * from './constants/task-retries.js';
export * from './constants/cloud.js';
export * from './constants/scheduling.js';
