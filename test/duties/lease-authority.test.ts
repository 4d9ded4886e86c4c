import assert from 'node:assert/strict';
import test from 'node:test';
import { ClockCheckedLeaseAuthority } from '@pumicehinge/duties';

test('lease authority: it lasts for the time to live from the start of the request, less clock drift and safety margin, and ends if the clock goes backwards', () => {
  const TTL_MS = 4_000;
  type LeaseAction = ['request' | 'confirm', atMs: number] | ['check', atMs: number, expected: boolean];
  const cases: [name: string, ...steps: LeaseAction[]][] = [
    ['no lease granted', ['check', 10, false]],
    [
      'granted without delay',
      ['request', 0],
      ['confirm', 1],
      ['check', 3_700, true],
      ['check', 3_800, false],
    ],
    [
      'an answer after 1.4 s',
      ['request', 0],
      ['confirm', 1_400],
      ['check', 3_700, true],
      ['check', 3_800, false],
    ],
    ['an answer after the lease expired', ['request', 0], ['confirm', 5_000], ['check', 5_000, false]],
    [
      'restored by a renewal',
      ...([
        ['request', 0],
        ['confirm', 1],
        ['check', 3_900, false],
      ] satisfies LeaseAction[]),
      ...([
        ['request', 3_950],
        ['confirm', 3_960],
        ['check', 7_000, true],
      ] satisfies LeaseAction[]),
    ],
    [
      'the clock goes backwards while the lease is valid',
      ...([
        ['request', 9_000],
        ['confirm', 9_001],
        ['check', 9_500, true],
        ['check', 9_400, false],
      ] satisfies LeaseAction[]),
    ],
    [
      'the clock goes backwards between request and answer',
      ...([
        ['request', 9_000],
        ['confirm', 3_000],
        ['check', 3_100, false],
      ] satisfies LeaseAction[]),
      ...([
        ['request', 3_200],
        ['confirm', 3_210],
        ['check', 3_300, true],
      ] satisfies LeaseAction[]),
    ],
  ];
  for (const [name, ...steps] of cases) {
    const authority = new ClockCheckedLeaseAuthority();
    let renewal = authority.beginRenewal(-Infinity);
    for (const [step, atMs, expected] of steps) {
      if (step === 'request') renewal = authority.beginRenewal(atMs);
      else if (step === 'confirm') authority.confirmRenewal(renewal, TTL_MS, atMs);
      else assert.equal(authority.isValid(atMs), expected, `${name}, at ${atMs}`);
    }
  }
});
