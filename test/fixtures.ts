import type { JobSpec } from '../src/state/records.js';

/** Returns a valid job description with the given fields replaced. */
export function createJobSpec(fields: Partial<JobSpec> = {}): JobSpec {
  return {
    uid: 'job-000001',
    jobClass: 'batch',
    team: 'red',
    kind: 'array',
    rank: 'standard',
    tasks: 4,
    cpus: 2,
    accelerators: 0,
    memGb: 4,
    instanceTypes: null,
    zone: null,
    singleZone: false,
    zoneSpread: false,
    spot: false,
    image: 'img-1',
    imageGb: 1,
    estimatedRunS: 10,
    checkpointIntervalS: 0,
    checkpointS: 0,
    deadlineS: null,
    ...fields,
  };
}

/** A valid platform settings file in TOML. */
export const PLATFORM_SETTINGS = `
member = "a"
domain = "z"
public_addr = "127.0.0.1:80"
cluster_listen = "127.0.0.1:81"
unknown = 1
[[seeds]]
member = "b"
domain = "z"
address = "127.0.0.1:82"
[endpoints]
cloud = "127.0.0.1:83"
state = "127.0.0.1:84"
[deployment]
count = 2
zones = ["z"]
[[deployment.teams]]
name = "red"
cpus = 1
cpus_max = 2.5
[deployment.workers]
report_s = 1.5
lease_s = 14.0
cancel_s = 39.0
[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 12
[deployment.cloud]
rps = 6.0
list_lag_s = 5.0
[deployment.quota]
max_connections = 900
`;
