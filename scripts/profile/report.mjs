// Prints the profiles that scripts/profile/load.ts wrote: processor time by activity and memory by area, one column
// per process.
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const [folder] = process.argv.slice(2);
if (folder === undefined) throw new Error('usage: report.mjs <directory that load.ts wrote> [--functions]');

/** Activities, with a pattern for the file and name of the functions that belong to each. The first match counts. */
const ACTIVITIES = [
  ['garbage collection', /^\(garbage collector\)/],
  ['loading the program', /cjs\/loader|launcher|target\/main\.cjs|bootstrap|node:vm|runInThisContext/],
  ['settings and schemas', /schema-validators|settings\.ts|ajv|smol-toml|fast-uri|commander/],
  ['JSON and codecs', /wire\/json|workers\/codec|api\/codec|autoscaler\/cloud-codec/],
  ['frames between controllers', /msgpackr|peer-codec|peer-frames|peers\/peer-transport/],
  ['HTTP', /src\/http\//],
  ['sockets and streams', /node:net|stream|node:buffer|writeUtf8String|writeBuffer|node:events/],
  ['timers and ticks', /timers|task_queues|async_hooks|promises|microtask/i],
  ['state store: replica and writes', /src\/state\//],
  ['election and lease votes', /src\/election\//],
  [
    'heartbeats at the leader',
    /heartbeat-handler|command-dispatcher|cluster\/cluster-state|cluster\/lease-rules/,
  ],
  ['scheduling cycle and scaling out', /src\/(scheduler|autoscaler|leader|cluster|pipeline)\//],
  ['user API, relay and actors', /src\/api\/|relay|controller\.ts|actor\.ts|clock\.ts/],
  ['logging', /pino|sonic-boom/],
  ['native code without a name', /^\(program\)/],
];

/** Returns the source module of each line of the bundle. esbuild names a module in a comment before its code. */
function listModulesByLine() {
  let module = 'bundle';
  return readFileSync('target/program.cjs', 'utf8')
    .split('\n')
    .map((line) => (module = /^\s*\/\/ ((src|node_modules|schema)\/\S+)/.exec(line)?.[1] ?? module));
}

/** Returns the milliseconds spent in each function itself, by a name made of its source file and function name. */
function readProfile(file, modules) {
  const profile = JSON.parse(readFileSync(file, 'utf8'));
  const names = new Map();
  for (const { id, callFrame } of profile.nodes) {
    const { url, functionName, lineNumber } = callFrame;
    names.set(
      id,
      `${url.endsWith('program.cjs') ? modules[lineNumber] : url || functionName}#${functionName}`,
    );
  }
  const selfTimesMs = new Map();
  profile.samples.forEach((id, index) => {
    const name = names.get(id);
    selfTimesMs.set(name, (selfTimesMs.get(name) ?? 0) + profile.timeDeltas[index] / 1000);
  });
  selfTimesMs.delete('(idle)#(idle)');
  return selfTimesMs;
}

function sumByActivity(selfTimesMs) {
  const sums = new Map();
  for (const [name, ms] of selfTimesMs) {
    const activity = ACTIVITIES.find(([, pattern]) => pattern.test(name))?.[0] ?? 'other';
    sums.set(activity, (sums.get(activity) ?? 0) + ms);
  }
  return sums;
}

function formatTable(title, columns, rows) {
  const lines = [
    `| ${title} | ${columns.join(' | ')} |`,
    `| --- ${'| --- '.repeat(columns.length)}|`,
    ...rows.map(([name, values]) => `| ${name} | ${values.join(' | ')} |`),
  ];
  return `${lines.join('\n')}\n\n`;
}

const modules = listModulesByLine();
const members = readdirSync(folder)
  .filter((file) => file.endsWith('.cpuprofile'))
  .map((file) => file.replace('.cpuprofile', ''))
  .sort();
const profiles = members.map((member) => readProfile(join(folder, `${member}.cpuprofile`), modules));
const activities = profiles.map(sumByActivity);
const totalsMs = activities.map((sums) => [...sums.values()].reduce((a, b) => a + b, 0));
const rows = [...ACTIVITIES.map(([name]) => name), 'other'].map((name) => [
  name,
  activities.map((sums, i) => {
    const ms = sums.get(name) ?? 0;
    return `${ms.toFixed(0)} (${((100 * ms) / totalsMs[i]).toFixed(0)}%)`;
  }),
]);
rows.push(['all', totalsMs.map((ms) => ms.toFixed(0))]);
process.stdout.write(formatTable('ms of processor time', members, rows));

const megabytes = (bytes) => (bytes / 2 ** 20).toFixed(1);
const memory = members.map((member) =>
  JSON.parse(readFileSync(join(folder, `${member}.memory.json`), 'utf8')),
);
const memoryRows = [
  ['whole process', memory.map((report) => megabytes(report.memory.rss))],
  ['heap in use', memory.map((report) => megabytes(report.memory.heapUsed))],
  ['buffers outside the heap', memory.map((report) => megabytes(report.memory.external))],
];
for (const { space } of memory[0].spaces) {
  const sizes = memory.map((report) => report.spaces.find((each) => each.space === space).size);
  if (sizes.some((size) => size > 0)) memoryRows.push([`heap: ${space}`, sizes.map(megabytes)]);
}
process.stdout.write(formatTable('MB', members, memoryRows));

if (process.argv.includes('--functions')) {
  members.forEach((member, i) => {
    const top = [...profiles[i]].sort((a, b) => b[1] - a[1]).slice(0, 40);
    process.stdout.write(`${member}\n${top.map(([name, ms]) => `${ms.toFixed(1)} ${name}`).join('\n')}\n\n`);
  });
}
