/**
 * Starts the program with V8's code cache, which the build writes beside it. Without the cache, compiling hundreds of
 * kilobytes of source would take a small controller seconds at each start. If V8 rejects the cache because it was made by
 * another version or with other flags, the source is compiled as usual.
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

const shouldWriteCodeCache = process.env.PUMICEHINGE_WRITE_CODE_CACHE === '1';
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(PROGRAM, 'utf8')}\n})`;
const script = new Script(source, {
  filename: PROGRAM,
  cachedData: shouldWriteCodeCache ? undefined : readCodeCache(),
});
// The cache is written when the process exits, so that it also contains the functions that V8 compiled at their first call.
if (shouldWriteCodeCache) process.on('exit', () => writeFileSync(CODE_CACHE, script.createCachedData()));
script.runInThisContext()(exports, require, module, PROGRAM, __dirname);
