/** The controller program. It parses the command line, loads the settings and starts a controller. */
import { Command } from 'commander';
import { destination, pino } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { systemClock } from '@pumicehinge/runtime';
import { getMaxRequestBytes } from './api/codec.js';
import { MAX_POOL_CONNECTIONS } from './constants.js';
import { Controller } from './controller.js';
import { SocketHttpClient } from './http/client.js';
import { startHttpServer } from './http/server.js';
import { TcpPeerTransport } from './peers/peer-transport.js';
import { findSettingsWarnings } from './settings-warnings.js';
import { divideMemory } from './sizing.js';
import { loadSettings, SettingsError, type Settings } from './settings.js';
import packageJson from '../package.json' with { type: 'json' };

const EXIT_INVALID_SETTINGS = 2;
const EXIT_CANNOT_LISTEN = 3;

function measureUsedBytes(): number {
  const { heapTotal, external } = process.memoryUsage();
  return heapTotal + external;
}

async function runController(settings: Settings): Promise<void> {
  const log = pino(
    { level: process.env.LOG_LEVEL || 'info', base: { member: settings.member } },
    destination({ fd: 2, sync: true }),
  );
  const clock = systemClock;
  const memoryLimits = divideMemory(settings.memoryBytes, settings.peers.length);
  const randomGenerator = xoroshiro128plus((Date.now() ^ (process.pid << 16)) | 0);
  const peers = new TcpPeerTransport({
    member: settings.member,
    peers: settings.peers,
    maxBufferedBytes: memoryLimits.maxPeerBufferBytes,
    clock,
    log,
  });
  const controller = new Controller({
    settings,
    clock,
    // The steady clock starts at 0 together with the process.
    processStartMs: 0,
    measureUsedBytes,
    random: () => uniformFloat64(randomGenerator),
    httpClient: new SocketHttpClient(clock, MAX_POOL_CONNECTIONS, Infinity, memoryLimits.maxResponseBytes),
    workerHttpClient: new SocketHttpClient(clock, 1, settings.socketLimits.maxCommandConnections),
    peerTransport: peers,
    log,
  });
  // A controller does not exit after an unexpected error. After an uncaught exception it resigns as leader, and the next
  // leader rebuilds its state from the state store.
  process.on('uncaughtException', (error) => {
    log.error({ err: error }, 'uncaught exception; resigning leadership');
    controller.resignLeadership();
  });
  process.on('unhandledRejection', (error) => log.error({ err: error }, 'unhandled promise rejection'));
  try {
    await peers.listen(settings.peerAddress);
    await startHttpServer(
      settings.publicAddress,
      settings.socketLimits.maxClientConnections,
      (request, respond) => controller.handleRequest(request, respond),
      clock,
      log,
      {
        getMaxBodyBytes: getMaxRequestBytes,
        onRejected: (status) => controller.recordRejectedRequest(status),
      },
    );
  } catch (error) {
    log.error({ err: error }, 'cannot listen on the public or the peer address');
    process.exit(EXIT_CANNOT_LISTEN);
  }
  controller.start();
  for (const warning of findSettingsWarnings(settings)) log.warn(warning);
  log.info(
    {
      version: packageJson.version,
      address: settings.publicAddress,
      startObjectives: settings.startObjectives,
    },
    'controller started',
  );
}

const program = new Command('pumicehinge-controller')
  .description('A controller of the pumicehinge cluster scheduler')
  .version(packageJson.version)
  .requiredOption('--config <file>', 'settings file of the platform (TOML)')
  .option('--operator <file>', "operators' own settings (JSON, schema/operator.schema.json)")
  .action(async (options: { config: string; operator?: string }) => {
    let settings: Settings;
    try {
      settings = loadSettings(options.config, options.operator);
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      process.stderr.write(`pumicehinge-controller: ${error.message}\n`);
      process.exit(EXIT_INVALID_SETTINGS);
    }
    await runController(settings);
  });

void program.parseAsync();
