// Loaded into a profiled controller. On SIGTERM it writes the memory and CPU usage, and exits so that
// node writes the profile.
const { writeFileSync } = require('node:fs');
const { getHeapSpaceStatistics } = require('node:v8');

let processorAtStart;
setTimeout(() => {
  processorAtStart = process.cpuUsage();
}, 3000);

process.on('SIGTERM', () => {
  const usage = process.cpuUsage();
  const spaces = getHeapSpaceStatistics().map(({ space_name, space_used_size, space_size }) => ({
    space: space_name,
    used: space_used_size,
    size: space_size,
  }));
  const report = { memory: process.memoryUsage(), spaces, usage, processorAtStart };
  writeFileSync(process.env.PROFILE_MEMORY_FILE, JSON.stringify(report, null, 1));
  process.exit(0);
});
