import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countTasksWithinQuota } from '../../src/scheduler/team-quota.js';
import { createJobSpec } from '../fixtures.js';
import { RED_TEAM_QUOTA } from '../support/scheduling-fixtures.js';

test('a team may run as many more tasks as its remaining quota allows', () => {
  assert.equal(
    countTasksWithinQuota(RED_TEAM_QUOTA, { cpus: 15, accelerators: 0, memGb: 0 }, createJobSpec()),
    2,
  );
  assert.equal(
    countTasksWithinQuota(RED_TEAM_QUOTA, { cpus: 30, accelerators: 0, memGb: 0 }, createJobSpec()),
    0,
  );
});
