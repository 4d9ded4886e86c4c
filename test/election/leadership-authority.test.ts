import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeadershipAuthority } from '../../src/election/leadership-authority.js';

test('renewals and votes prolong the authority of a leader, and a revocation ends it', () => {
  type AuthorityEvent = 'lease renewed' | 'votes granted' | 'revoked' | 'none';
  type Step = [atMs: number, event: AuthorityEvent, requestedAtMs: number, isValid: boolean];
  const cases: [name: string, steps: Step[]][] = [
    ['no lease was renewed', [[0, 'none', 0, false]]],
    [
      'a renewal counts from the time of the request',
      [
        [900, 'lease renewed', 0, true],
        [2600, 'none', 0, true],
        [2800, 'none', 0, false],
      ],
    ],
    [
      'votes extend the authority',
      [
        [10, 'lease renewed', 0, true],
        [2500, 'votes granted', 2400, true],
        [5000, 'none', 0, true],
        [5300, 'none', 0, false],
      ],
    ],
    [
      'votes do not revive an expired authority',
      [
        [10, 'lease renewed', 0, true],
        [3100, 'votes granted', 3050, false],
      ],
    ],
    [
      'a renewed lease revives an expired authority, as no other controller could lead meanwhile',
      [
        [10, 'lease renewed', 0, true],
        [4000, 'lease renewed', 3990, true],
      ],
    ],
    [
      'votes do not revive a revoked authority',
      [
        [10, 'lease renewed', 0, true],
        [20, 'revoked', 0, false],
        [30, 'votes granted', 25, false],
      ],
    ],
  ];
  for (const [name, steps] of cases) {
    const authority = new LeadershipAuthority();
    for (const [atMs, event, requestedAtMs, isValid] of steps) {
      if (event === 'lease renewed') authority.renew(requestedAtMs, 3000);
      if (event === 'votes granted') authority.extend(requestedAtMs, 3000, atMs);
      if (event === 'revoked') authority.revoke();
      assert.equal(authority.isValid(atMs), isValid, `${name} at ${atMs}`);
    }
  }
});
