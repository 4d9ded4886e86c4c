/**
 * Runs fixed scenarios in the simulation and prints a digest over all messages of each. Sources with the same
 * behaviour give the same digests. This is a tool for maintainers and is not part of CI. `--help` lists its options.
 */
import { fork, spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { SimulatedDeployment, SMALL_DEPLOYMENT } from '../src/simulation/simulated-deployment.js';
import { CHECKPOINT_MESSAGES, TrafficRecorder, type Recording } from './behavior-trace/recorder.js';
import { DEFAULT_SECONDS, SCENARIOS, type Scenario } from './behavior-trace/scenarios.js';

/** Each scenario runs once with each of these seeds. */
const SEEDS = [1, 2, 3];

/** One scenario with one seed. */
interface ScenarioRun {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly name: string;
}

/** The result of one run. The field names are those of the files of digests. */
interface RunResult extends Recording {
  readonly name: string;
  readonly brokenRules: number;
  /** Number of tasks that were started, which shows that the scenario ran. */
  readonly tasksStarted: number;
}

/** Options of the command line. */
interface Options {
  readonly jobs: string;
  readonly only?: string;
  readonly seeds?: string;
  readonly out?: string;
  readonly compare?: string;
  readonly against?: string;
  readonly shard?: string;
  readonly messages?: string;
}

async function runScenario(
  { scenario, seed, name }: ScenarioRun,
  onLine?: (line: string) => void,
): Promise<RunResult> {
  const recorders: TrafficRecorder[] = [];
  const deployment = new SimulatedDeployment(seed, {
    ...SMALL_DEPLOYMENT,
    ...scenario.options,
    createObserver: (clock) => {
      const recorder = new TrafficRecorder(clock, onLine);
      recorders.push(recorder);
      return recorder;
    },
  });
  scenario.workload(deployment);
  for (const injectFault of scenario.faults) injectFault(deployment);
  await deployment.clock.runUntil((scenario.seconds ?? DEFAULT_SECONDS) * 1000);
  const [recorder] = recorders;
  if (!recorder) throw new Error(`run ${name} created no recorder`);
  return {
    name,
    ...recorder.finish(),
    brokenRules: deployment.rules.violations.length,
    tasksStarted: deployment.rules.startCount,
  };
}

function selectRuns({ only = '', seeds }: Options): ScenarioRun[] {
  const selectedSeeds = seeds === undefined ? SEEDS : seeds.split(',').map(Number);
  return SCENARIOS.filter(({ name }) => name.includes(only)).flatMap((scenario) =>
    selectedSeeds.map((seed) => ({ scenario, seed, name: `${scenario.name} / ${seed}` })),
  );
}

/** Runs one shard, given as "index/count": every run whose position modulo `count` is `index`. */
async function runShard(runs: ScenarioRun[], shard: string): Promise<RunResult[]> {
  const [index, count] = shard.split('/').map(Number) as [number, number];
  const results: RunResult[] = [];
  for (const [i, run] of runs.entries()) if (i % count === index) results.push(await runScenario(run));
  return results;
}

/** Distributes the runs over several processes. */
async function runAll(runs: ScenarioRun[], jobs: number): Promise<RunResult[]> {
  const shards = Array.from({ length: jobs }, (_, index) => runShardInProcess(`${index}/${jobs}`));
  const results = (await Promise.all(shards)).flat();
  const positions = new Map(runs.map(({ name }, i) => [name, i]));
  return results.sort((a, b) => positions.get(a.name)! - positions.get(b.name)!);
}

function runShardInProcess(shard: string): Promise<RunResult[]> {
  return new Promise((resolve, reject) => {
    const child = fork(fileURLToPath(import.meta.url), [...process.argv.slice(2), '--shard', shard]);
    let results: RunResult[] | undefined;
    child.on('message', (message) => (results = message as RunResult[]));
    child.on('exit', (code) =>
      results
        ? resolve(results)
        : reject(new Error(`the process of shard ${shard} exited with ${code} and sent no results`)),
    );
  });
}

/** Prints every difference from the results in a file. Returns whether there is none. */
function compareWithFile(results: RunResult[], { compare: file = '', against }: Options): boolean {
  const expected = new Map(
    (JSON.parse(readFileSync(file, 'utf8')) as RunResult[]).map((run) => [run.name, run]),
  );
  let isSame = true;
  for (const result of results) {
    const expectedResult = expected.get(result.name);
    if (expectedResult?.digest === result.digest && expectedResult.brokenRules === result.brokenRules)
      continue;
    isSame = false;
    printLine(
      `differs: ${result.name}: ${expectedResult ? describeDifference(expectedResult, result) : 'not in the file'}`,
    );
    if (against !== undefined) printLine(describeFirstDifference(result.name, against));
  }
  printLine(`${results.length} runs compared with ${file}: ${isSame ? 'all the same' : 'not the same'}`);
  return isSame;
}

function describeDifference(expected: RunResult, actual: RunResult): string {
  const mismatchIndex = expected.checkpoints.findIndex((digest, i) => digest !== actual.checkpoints[i]);
  const block = mismatchIndex < 0 ? expected.checkpoints.length : mismatchIndex;
  const counts = `${expected.messages} messages before, ${actual.messages} now`;
  const rules = `${expected.brokenRules} broken rules before, ${actual.brokenRules} now`;
  return `after message ${block * CHECKPOINT_MESSAGES}; ${counts}; ${rules}`;
}

/** Describes the first message that differs from that of another checkout. */
function describeFirstDifference(name: string, checkout: string): string {
  const [expectedMessages, actualMessages] = [checkout, process.cwd()].map((folder) =>
    readMessages(name, folder),
  ) as [string[], string[]];
  const mismatchIndex = expectedMessages.findIndex((line, i) => line !== actualMessages[i]);
  const index = mismatchIndex < 0 ? expectedMessages.length : mismatchIndex;
  return `  message ${index}\n  before: ${expectedMessages[index] ?? 'none'}\n  now:    ${actualMessages[index] ?? 'none'}`;
}

function readMessages(name: string, checkout: string): string[] {
  const script = ['--import', 'tsx', 'scripts/behavior-trace.ts', '--messages', name];
  const output = spawnSync(process.execPath, script, { cwd: checkout, maxBuffer: 1 << 30, encoding: 'utf8' });
  if (output.status !== 0) throw new Error(`${checkout}: ${output.stderr}`);
  return output.stdout.split('\n');
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function printMessages(name: string): Promise<void> {
  const run = selectRuns({ jobs: '1' }).find((each) => each.name === name);
  if (!run) throw new Error(`no run is named "${name}"`);
  const lines: string[] = [];
  await runScenario(run, (line) => lines.push(line));
  process.stdout.write(lines.join('\n'));
}

async function main(options: Options): Promise<void> {
  if (options.messages !== undefined) return printMessages(options.messages);
  const runs = selectRuns(options);
  if (options.shard !== undefined) {
    process.send?.(await runShard(runs, options.shard), () => process.exit(0));
    return;
  }
  const results = await runAll(runs, Number(options.jobs));
  if (options.out !== undefined) writeFileSync(options.out, formatResults(results));
  else if (options.compare === undefined) printLine(formatResults(results));
  if (options.compare !== undefined && !compareWithFile(results, options)) process.exitCode = 1;
}

/** Formats the results as JSON with one run per line. */
function formatResults(results: RunResult[]): string {
  return `[\n${results.map((result) => JSON.stringify(result)).join(',\n')}\n]\n`;
}

const command = new Command('behavior-trace')
  .description(
    'Runs fixed scenarios and prints a digest over all their messages, to show that behaviour is unchanged.',
  )
  .option('--jobs <n>', 'number of processes that run scenarios at the same time', '4')
  .option('--only <text>', 'run only scenarios whose name contains this text')
  .option('--seeds <list>', 'seeds, separated by commas (default: all)')
  .option('--out <file>', 'write the results to this file')
  .option('--compare <file>', 'compare with the results in this file; exit code 1 if any differs')
  .option(
    '--against <folder>',
    'with --compare: a checkout of the previous sources, used to show the first message that differs',
  )
  .option('--messages <run>', 'print all messages of one run, given as "scenario / seed"')
  .option('--shard <i/n>', 'run only one shard (used internally)')
  .parse();

await main(command.opts<Options>());
