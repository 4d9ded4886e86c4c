import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createJobPipeline,
  createSuccessorPipeline,
  type DeadlineObjective,
} from '../../src/pipeline/job-pipeline.js';
import { findExecutableMembers, getExpiryAgeS, getCompletionValue } from '../../src/pipeline/pipeline.js';
import { createJobSpec } from '../fixtures.js';

test('the specification of a job and the objectives of its class determine its pipeline', () => {
  const objectives: DeadlineObjective[] = [
    { jobClass: 'batch', share: 0.9, deadlineFactor: 1.5 },
    { jobClass: 'batch', share: 0.8, deadlineFactor: 1 },
    { jobClass: 'other', share: 0.8, deadlineFactor: 9 },
  ];
  const cases: [
    fields: Parameters<typeof createJobSpec>[0],
    isSuccessor: boolean,
    expiryAgeS: number | null,
    acceptableStates: string[],
  ][] = [
    [{ spot: false, deadlineS: null }, false, null, ['S']],
    [{ spot: true, deadlineS: 100 }, false, 150, ['SN', 'FS']],
    [{ spot: true, deadlineS: 100, jobClass: 'unknown' }, false, 100, ['SN', 'FS']],
    [{ spot: true, deadlineS: 100 }, true, null, ['SN', 'FS']],
  ];
  for (const [fields, isSuccessor, expiryAgeS, acceptableStates] of cases) {
    const spec = createJobSpec(fields);
    const pipeline = isSuccessor ? createSuccessorPipeline(spec) : createJobPipeline(spec, objectives);
    assert.equal(getExpiryAgeS(pipeline), expiryAgeS);
    assert.deepEqual(pipeline.acceptableStates, acceptableStates);
  }
  const pipelineWithDeadline = createJobPipeline(createJobSpec({ spot: true, deadlineS: 100 }), objectives);
  assert.deepEqual(findExecutableMembers(pipelineWithDeadline, 'NN'), ['spot']);
  assert.deepEqual(findExecutableMembers(pipelineWithDeadline, 'FN'), ['any']);
  assert.deepEqual(
    [
      getCompletionValue(pipelineWithDeadline, 100),
      getCompletionValue(pipelineWithDeadline, 101),
      getCompletionValue(pipelineWithDeadline, 151),
    ],
    [1, 0.5, 0],
  );
});
