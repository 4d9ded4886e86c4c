import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findRejectionReason } from '../../src/api/admission.js';
import type { JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';
import { LARGE_INSTANCE_TYPE, RED_TEAM_QUOTA, SMALL_INSTANCE_TYPE } from '../support/scheduling-fixtures.js';

test('a job that can never run is rejected with the reason', () => {
  const quotas = new Map([[RED_TEAM_QUOTA.name, RED_TEAM_QUOTA]]);
  const cases: [fields: Partial<JobSpec>, reason: string | undefined][] = [
    [{}, undefined],
    [{ team: 'none' }, 'unknown team'],
    [{ cpus: 17 }, 'a task fits no allowed machine type'],
    [{ instanceTypes: ['none'] }, 'a task fits no allowed machine type'],
    [{ cpus: 8, instanceTypes: ['small'] }, 'a task fits no allowed machine type'],
    [{ zone: 'z' }, 'a task fits no allowed machine type'],
    [{ tasks: 100 }, undefined],
    [{ tasks: 11, kind: 'service' }, "more than the team's limit"],
    [{ tasks: 10, kind: 'service' }, undefined],
  ];
  for (const [fields, reason] of cases)
    assert.equal(
      findRejectionReason(createJobSpec(fields), [SMALL_INSTANCE_TYPE, LARGE_INSTANCE_TYPE], quotas),
      reason,
    );
});
