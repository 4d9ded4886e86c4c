/**
 * Runs real controllers on loopback under the load of a deployment, each with node's own CPU profiler, against the
 * stand-ins of the state service, the cloud and the workers. `report.ts` makes tables of what it leaves behind.
 */
import { join } from 'node:path';
import { Command } from 'commander';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { systemClock } from '@pumicehinge/runtime';
import { LoopbackCluster } from '../../src/simulation/loopback-cluster.js';

const TIMING = { reportS: 2.5, leaseS: 15, cancelS: 40, bootS: 5 };

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
  const hook = join(import.meta.dirname, 'hook.cjs');
  const cluster = new LoopbackCluster({
    controllers: Number(options.controllers),
    machines,
    timing: TIMING,
    folder: out,
    random,
    nodeFlags: (member) => [
      '--cpu-prof',
      `--cpu-prof-dir=${out}`,
      `--cpu-prof-name=${member}.cpuprofile`,
      '--cpu-prof-interval=250',
      '--require',
      hook,
    ],
    environment: (member) => ({ PROFILE_MEMORY_FILE: join(out, `${member}.memory.json`) }),
  });
  await cluster.start();
  process.on('exit', () => void cluster.stop());
  const { users } = cluster;
  systemClock.after(4000, () => {
    for (let i = 0; i < 8; i++) users.submit('service', 8, 0);
    for (let i = 0; i < machines / 12; i++) users.submit('array', 20, 50);
    const next = (): void => {
      users.submit('array', 20, 50);
      systemClock.after((1000 / Number(options.jobsPerSecond)) * 2 * random(), next);
    };
    next();
  });
  await new Promise<void>((resolve) => systemClock.after(Number(options.seconds) * 1000, resolve));
  process.stdout.write(`${cluster.cloud.hosts.size} machines, ${cluster.rules.started} starts\n`);
  await cluster.stop('SIGTERM');
  process.exit(0);
}

await new Command('load')
  .option('--controllers <n>', 'controllers', '3')
  .option('--machines <n>', 'machines that the cloud has', '300')
  .option('--seconds <n>', 'length of the run', '60')
  .option('--jobs-per-second <n>', 'arrays submitted a second', '0.15')
  .requiredOption('--out <dir>', 'directory for the profiles')
  .action(run)
  .parseAsync();
