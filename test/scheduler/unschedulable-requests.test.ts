import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UnschedulableRequests } from '../../src/scheduler/unschedulable-requests.js';
import type { JobSpec } from '../../src/state/records.js';
import { createJobSpec } from '../fixtures.js';

// Among hundreds of similar waiting jobs, only the first one may cause a search through the nodes.
test('an unschedulable request covers all requests that need at least as much under the same constraints', () => {
  const unschedulableRequests = new UnschedulableRequests();
  unschedulableRequests.record(createJobSpec({ cpus: 2, memGb: 8, spot: true }));
  const cases: [name: string, fields: Partial<JobSpec>, isCovered: boolean][] = [
    ['the same request', { cpus: 2, memGb: 8, spot: true }, true],
    ['more CPUs', { cpus: 4, memGb: 8, spot: true }, true],
    ['less memory', { cpus: 2, memGb: 4, spot: true }, false],
    ['fewer CPUs', { cpus: 1, memGb: 8, spot: true }, false],
    ['no spot nodes', { cpus: 2, memGb: 8, spot: false }, false],
    ['limited to one zone', { cpus: 2, memGb: 8, spot: true, zone: 'a' }, false],
    ['limited to one instance type', { cpus: 2, memGb: 8, spot: true, instanceTypes: ['small'] }, false],
  ];
  for (const [name, fields, isCovered] of cases)
    assert.equal(unschedulableRequests.covers(createJobSpec(fields)), isCovered, name);
});
