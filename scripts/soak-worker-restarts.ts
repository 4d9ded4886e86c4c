/**
 * Plays random scenarios in which machines restart while other faults are active, and prints each broken rule with its
 * seed and schedule. This is a tool for maintainers and is not part of CI, which plays a few fixed seeds.
 */
import { Command } from 'commander';
import { runSoakScenario, type SoakResult } from '../test/support/worker-restart-soak.js';

interface Options {
  readonly first: string;
  readonly count: string;
  readonly schedule?: boolean;
  readonly copies?: boolean;
}

function printResult(result: SoakResult, showsSchedule: boolean): void {
  const { seed, violations, startsAfterCancellation, schedule } = result;
  const lines = [`seed ${seed}: ${violations.length} violations`, ...violations.map((line) => `  ${line}`)];
  lines.push(...startsAfterCancellation.map((line) => `  start after a cancellation: ${line}`));
  if (showsSchedule) lines.push(...schedule.map((line) => `    ${line}`));
  process.stdout.write(`${lines.join('\n')}\n`);
}

const program = new Command('soak-worker-restarts')
  .description('Plays random scenarios in which machines restart.')
  .option('--first <seed>', 'the first seed', '1')
  .option('--count <n>', 'number of seeds', '100')
  .option('--copies', 'late copies of all executed requests arrive, and some tasks fail')
  .option('--schedule', 'print what was drawn for each seed with violations');
program.parse();
const options = program.opts<Options>();
const firstSeed = Number(options.first);
const seedCount = Number(options.count);
let failedCount = 0;
let startCount = 0;
let restartCount = 0;
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
  const result = await runSoakScenario(seed, options.copies);
  startCount += result.startCount;
  restartCount += result.restartCount;
  if (result.violations.length + result.startsAfterCancellation.length === 0) continue;
  failedCount++;
  printResult(result, options.schedule === true);
}
process.stdout.write(
  `${seedCount} seeds, ${failedCount} with violations, ${restartCount} restarts, ${startCount} task starts\n`,
);
process.exitCode = failedCount > 0 ? 1 : 0;
