import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MIN_RELAYS_FOR_REDIRECT,
  REDIRECT_MIN_TERM_MS,
  REDIRECT_REPEAT_INTERVAL_MS,
} from '../../src/constants.js';
import { RelayRedirector } from '../../src/workers/relay-redirector.js';

// Guards against a leader of a large fleet that serves half of all workers itself, and is short of processor time while
// other controllers are idle.
test('a leader redirects workers to relays once its term has lasted a while, and serves workers that come back', () => {
  const redirector = new RelayRedirector(1000);
  const firstRedirectMs = 1000 + REDIRECT_MIN_TERM_MS;
  const steps: [name: string, node: string, relayCount: number, atMs: number, isRedirected: boolean][] = [
    ['right after a change of leader', 'm1', 3, firstRedirectMs - 1, false],
    ['too few relays', 'm1', MIN_RELAYS_FOR_REDIRECT - 1, firstRedirectMs, false],
    ['the term has lasted long enough', 'm1', MIN_RELAYS_FOR_REDIRECT, firstRedirectMs, true],
    ['the worker came back', 'm1', MIN_RELAYS_FOR_REDIRECT, firstRedirectMs + 2000, false],
    ['another worker', 'm2', MIN_RELAYS_FOR_REDIRECT, firstRedirectMs + 2000, true],
    [
      'the worker is still connected in the next period',
      'm1',
      MIN_RELAYS_FOR_REDIRECT,
      firstRedirectMs + REDIRECT_REPEAT_INTERVAL_MS,
      false,
    ],
    [
      'the worker is still connected a moment later',
      'm1',
      MIN_RELAYS_FOR_REDIRECT,
      firstRedirectMs + REDIRECT_REPEAT_INTERVAL_MS + 1,
      false,
    ],
    [
      'the worker is redirected again in a later period',
      'm1',
      MIN_RELAYS_FOR_REDIRECT,
      firstRedirectMs + 3 * REDIRECT_REPEAT_INTERVAL_MS,
      true,
    ],
  ];
  for (const [name, node, relayCount, atMs, isRedirected] of steps)
    assert.equal(redirector.tryRedirect(node, relayCount, atMs), isRedirected, name);
});
