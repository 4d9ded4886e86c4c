// Builds target/: a controller has a few hundredths of a core, so all that a start can do without is done here.
// - The program and its libraries become one file: resolving and reading some hundred modules costs more than running.
// - The validators of the settings are generated (src/schema-validators.ts says why).
// - V8's compiled code of the program is kept beside it, for src/launcher.cjs.
import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Ajv } from 'ajv';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const standaloneCode = createRequire(import.meta.url)('ajv/dist/standalone').default;

const readJson = (file) => JSON.parse(readFileSync(file, 'utf8'));

/** Code of the validators, as ajv generates it; `AJV_OPTIONS` are those of src/schema-options.ts. */
function validatorsCode(ajvOptions) {
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
  setup(plugins) {
    plugins.onLoad({ filter: /[\\/]schema-validators\.ts$/ }, () => ({
      contents: validatorsCode(ajvOptions),
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
  // Looking for msgpackr's native part costs a start more than that part ever saves.
  define: { 'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  external: ['msgpackr-extract'],
  plugins: [generatedValidators],
  logLevel: 'warning',
});
copyFileSync('src/launcher.cjs', 'target/main.cjs');

// V8 takes compiled code only from a process with the same flags: those with which the deploy file starts a controller.
const runCommand = parse(readFileSync('deploy/service.toml', 'utf8')).run.split(' ');
const flags = runCommand.slice(1, runCommand.indexOf('target/main.cjs'));
const { status, stderr } = spawnSync(process.execPath, [...flags, 'target/main.cjs', '--help'], {
  env: { ...process.env, PUMICEHINGE_WRITE_CODE_CACHE: '1' },
  encoding: 'utf8',
});
if (status !== 0) throw new Error(`the code cache was not written: ${stderr}`);
