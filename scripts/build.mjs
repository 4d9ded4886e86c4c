// Builds target/. A controller has only a few hundredths of a core, so work is moved from the start to the build:
// - The program and its libraries are bundled into one file, because resolving and reading some hundred modules costs
//   more than running them.
// - The validators of the settings are generated (src/schema-validators.ts says why).
// - The compiled code of the program, as V8 caches it, is stored next to the bundle for src/launcher.cjs.
import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Ajv } from 'ajv';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const standaloneCode = createRequire(import.meta.url)('ajv/dist/standalone').default;

const readJson = (file) => JSON.parse(readFileSync(file, 'utf8'));

/** Generates the code of the validators with the `AJV_OPTIONS` of src/schema-options.ts. */
function generateValidatorCode(ajvOptions) {
  const ajv = new Ajv({ ...ajvOptions, code: { source: true, esm: true } });
  ajv.addSchema(readJson('schema/platform.schema.json'), 'platform');
  ajv.addSchema(readJson('schema/operator.schema.json'), 'operator');
  return standaloneCode(ajv, { validatePlatform: 'platform', validateOperator: 'operator' });
}

async function readAjvOptions() {
  const { outputFiles } = await build({
    entryPoints: ['src/schema-options.ts'],
    format: 'esm',
    write: false,
  });
  const module = await import(`data:text/javascript,${encodeURIComponent(outputFiles[0].text)}`);
  return module.AJV_OPTIONS;
}

const ajvOptions = await readAjvOptions();
const generatedValidators = {
  name: 'generated-validators',
  setup(pluginBuild) {
    pluginBuild.onLoad({ filter: /[\\/]schema-validators\.ts$/ }, () => ({
      contents: generateValidatorCode(ajvOptions),
      loader: 'js',
      resolveDir: process.cwd(),
    }));
  },
};

await build({
  entryPoints: ['src/main.ts'],
  outfile: 'target/program.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  // Searching for msgpackr's native addon at each start costs more than the addon ever saves.
  define: { 'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  external: ['msgpackr-extract'],
  plugins: [generatedValidators],
  logLevel: 'warning',
});
copyFileSync('src/launcher.cjs', 'target/main.cjs');

// V8 accepts a code cache only from a process with the same flags, so these are the flags of the deploy file.
const runCommand = parse(readFileSync('deploy/service.toml', 'utf8')).run.split(' ');
const flags = runCommand.slice(1, runCommand.indexOf('target/main.cjs'));
const { status, stderr } = spawnSync(process.execPath, [...flags, 'target/main.cjs', '--help'], {
  env: { ...process.env, PUMICEHINGE_WRITE_CODE_CACHE: '1' },
  encoding: 'utf8',
});
if (status !== 0) throw new Error(`the code cache was not written: ${stderr}`);
