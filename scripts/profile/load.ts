/**
 * Runs real controllers on loopback under the load of a deployment, each with node's CPU profiler, against a
 * simulated state service, cloud and workers. `report.mjs` prints tables of the profiles that it writes.
 */
import { join } from 'node:path';
import { Command } from 'commander';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { systemClock } from '@pumicehinge/runtime';
import { LoopbackCluster } from '../../src/simulation/loopback-cluster.js';

const TIMING = { reportS: 2.5, leaseS: 15, cancelS: 40, bootS: 5 };

/** Options of the command line. */
interface Options {
  controllers: string;
  machines: string;
  seconds: string;
  jobsPerSecond: string;
  out: string;
}

const generator = xoroshiro128plus(1);
const random = (): number => uniformFloat64(generator);

async function run(options: Options): Promise<void> {
  const machines = Number(options.machines);
  const { out } = options;
  const hookFile = join(import.meta.dirname, 'hook.cjs');
  const cluster = new LoopbackCluster({
    controllers: Number(options.controllers),
    machineCapacity: machines,
    timing: TIMING,
    folder: out,
    random,
    nodeFlags: (member) => [
      '--cpu-prof',
      `--cpu-prof-dir=${out}`,
      `--cpu-prof-name=${member}.cpuprofile`,
      '--cpu-prof-interval=250',
      '--require',
      hookFile,
    ],
    environment: (member) => ({ PROFILE_MEMORY_FILE: join(out, `${member}.memory.json`) }),
  });
  await cluster.start();
  process.on('exit', () => void cluster.stop());
  const { users } = cluster;
  systemClock.setTimer(4000, () => {
    for (let i = 0; i < 8; i++) users.submit('service', 8, 0);
    for (let i = 0; i < machines / 12; i++) users.submit('array', 20, 50);
    const submitNext = (): void => {
      users.submit('array', 20, 50);
      systemClock.setTimer((1000 / Number(options.jobsPerSecond)) * 2 * random(), submitNext);
    };
    submitNext();
  });
  await new Promise<void>((resolve) => systemClock.setTimer(Number(options.seconds) * 1000, resolve));
  process.stdout.write(`${cluster.cloud.machines.size} machines, ${cluster.rules.startCount} task starts\n`);
  await cluster.stop('SIGTERM');
  process.exit(0);
}

await new Command('load')
  .option('--controllers <n>', 'number of controllers', '3')
  .option('--machines <n>', 'number of machines that the cloud has', '300')
  .option('--seconds <n>', 'duration of the run in seconds', '60')
  .option('--jobs-per-second <n>', 'arrays submitted per second', '0.15')
  .requiredOption('--out <dir>', 'directory for the profiles')
  .action(run)
  .parseAsync();
