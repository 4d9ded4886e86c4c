/** Tests that modules do not import from higher layers, and that packages do not import from src. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { test } from 'node:test';

/**
 * The layers of docs/architecture.md, from top to bottom. A module may import only from its own layer and those below.
 * Imports by and of modules that belong to no layer, such as src/constants, are not checked.
 */
const LAYERS = [
  'src/main.ts',
  'src/controller.ts',
  'src/api',
  'src/leader',
  'src/workers',
  'src/election',
  'src/peers',
  'src/duties',
  'src/autoscaler',
  'src/scheduler',
  'src/cluster',
  'src/pipeline',
  'src/state',
  'src/http',
  'src/wire',
];

function listModules(path: string): string[] {
  if (statSync(path).isFile()) return path.endsWith('.ts') ? [path] : [];
  return readdirSync(path).flatMap((name) => listModules(join(path, name)));
}

function listImports(module: string): string[] {
  const specifiers = [...readFileSync(module, 'utf8').matchAll(/ from '(\.[^']+)\.js'/g)];
  return specifiers.map(([, specifier]) => normalize(join(dirname(module), `${specifier}.ts`)));
}

const findLayerIndex = (module: string): number =>
  LAYERS.findIndex((layer) => module === layer || module.startsWith(`${layer}/`));

test('no module imports from a layer above its own', () => {
  const upwardImports: string[] = [];
  let checkedCount = 0;
  for (const module of LAYERS.flatMap(listModules))
    for (const imported of listImports(module)) {
      if (findLayerIndex(imported) < 0) continue;
      checkedCount++;
      if (findLayerIndex(imported) < findLayerIndex(module))
        upwardImports.push(`${module} imports ${imported}`);
    }
  assert.deepEqual(upwardImports, []);
  assert.ok(checkedCount > 400, `only ${checkedCount} imports between layered modules found`);
});

test('packages do not import from src', () => {
  const modules = listModules('packages').filter((module) => !module.includes('node_modules'));
  const modulesImportingSrc = modules.filter((module) =>
    listImports(module).some((imported) => imported.startsWith('src/')),
  );
  assert.ok(modules.length > 20, `only ${modules.length} modules found`);
  assert.deepEqual(modulesImportingSrc, []);
});
