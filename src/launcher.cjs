/**
 * Starts the program from V8's compiled code, which the build left beside it: compiling hundreds of kilobytes of source anew
 * at each start takes a small controller seconds. Code that V8 does not take, of another version or with other flags,
 * is compiled from the source as usual.
 */
'use strict';

const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const PROGRAM = join(__dirname, 'program.cjs');
const CODE_CACHE = join(__dirname, 'program.cache');

function readCodeCache() {
  try {
    return readFileSync(CODE_CACHE);
  } catch {
    return undefined;
  }
}

const writesCache = process.env.PUMICEHINGE_WRITE_CODE_CACHE === '1';
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(PROGRAM, 'utf8')}\n})`;
const script = new Script(source, {
  filename: PROGRAM,
  cachedData: writesCache ? undefined : readCodeCache(),
});
// Written at the end of a run, it also holds the functions that are compiled when they are first called.
if (writesCache) process.on('exit', () => writeFileSync(CODE_CACHE, script.createCachedData()));
script.runInThisContext()(exports, require, module, PROGRAM, __dirname);
