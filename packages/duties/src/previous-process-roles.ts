/** Roles that a former process of the same controller still holds when a process starts. */
import { decodeHolder, holderKey } from './holder-records.js';
import type { Revision, RoleStore } from './ports.js';
import { ROLES, type Role } from './roles.js';

/**
 * Recorded once, at the start: two processes of one controller that run beside each other must not take roles from each
 * other in turn.
 */
export class FormerHoldings {
  private revisions: ReadonlyMap<Role, Revision> | undefined;

  /** `member`: this controller's name. */
  constructor(
    private readonly member: string,
    private readonly store: RoleStore,
  ) {}

  /** Records the holders' keys as they are at the first call; the store must be ready. */
  recordOnce(): void {
    if (this.revisions) return;
    const revisions = new Map<Role, Revision>();
    for (const role of ROLES) {
      const stored = this.store.get(holderKey(role));
      if (stored && decodeHolder(stored.value)?.member === this.member)
        revisions.set(role, stored.modRevision);
    }
    this.revisions = revisions;
  }

  /** Whether this revision of a holder's key is one that a former process wrote. */
  includes(role: Role, modRevision: Revision): boolean {
    return this.revisions?.get(role) === modRevision;
  }
}
