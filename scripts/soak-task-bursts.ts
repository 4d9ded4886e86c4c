/**
 * Plays random scenarios in which bursts of small tasks arrive while faults are active, and prints each broken rule with
 * its seed and schedule. This is a tool for maintainers and is not part of CI, which plays a few fixed seeds.
 */
import { Command } from 'commander';
import { MAX_BODY_BYTES } from '../src/constants.js';
import { runBurstScenario, type BurstSoakResult } from '../test/support/task-burst-soak.js';

interface Options {
  readonly first: string;
  readonly count: string;
  readonly schedule?: boolean;
  readonly copies?: boolean;
}

/** Lists what is wrong with a result, one line each. */
function listFailures(result: BurstSoakResult): string[] {
  const failures = [...result.violations, ...result.startsAfterCancellation];
  if (result.refusedHeartbeats > 0)
    failures.push(`${result.refusedHeartbeats} heartbeats refused for their size`);
  if (result.largestMessageBytes > MAX_BODY_BYTES)
    failures.push(`a message of ${result.largestMessageBytes} bytes`);
  if (result.unfinishedJobs.length > 0) failures.push(`unfinished: ${result.unfinishedJobs.join(' ')}`);
  return failures;
}

const program = new Command('soak-task-bursts')
  .description('Plays random scenarios with bursts of small tasks.')
  .option('--first <seed>', 'the first seed', '1')
  .option('--count <n>', 'number of seeds', '100')
  .option('--copies', 'late copies of all executed requests arrive, and some tasks fail')
  .option('--schedule', 'print what was drawn for each seed with failures');
program.parse();
const options = program.opts<Options>();
const firstSeed = Number(options.first);
const seedCount = Number(options.count);
let failedCount = 0;
let startCount = 0;
let largestMessageBytes = 0;
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
  const result = await runBurstScenario(seed, options.copies);
  startCount += result.startCount;
  largestMessageBytes = Math.max(largestMessageBytes, result.largestMessageBytes);
  const failures = listFailures(result);
  if (failures.length === 0) continue;
  failedCount++;
  const lines = [
    ...failures,
    ...(options.schedule === true ? result.schedule.map((line) => `  ${line}`) : []),
  ];
  process.stdout.write(
    `seed ${seed}: ${failures.length} failures\n${lines.map((line) => `  ${line}\n`).join('')}`,
  );
}
process.stdout.write(
  `${seedCount} seeds, ${failedCount} with failures, ${startCount} task starts, largest message ${largestMessageBytes} bytes\n`,
);
process.exitCode = failedCount > 0 ? 1 : 0;
