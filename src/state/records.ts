/** The records in the state store, with their keys. Only the modules listed here know the stored field names. */
export * from './records/completion-segments.js';
export * from './records/delegated-leases.js';
export * from './records/dependency-list.js';
export * from './records/encoded-size.js';
export * from './records/instance-types.js';
export * from './records/job-record.js';
export * from './records/job-spec.js';
export * from './records/keys.js';
export * from './records/leader-record.js';
export * from './records/node-group.js';
