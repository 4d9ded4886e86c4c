/** The roles that a previous process of the same controller still holds when this process starts. */
import { decodeHolder, roleHolderKey } from './holder-records.js';
import type { Revision, RoleStore } from './ports.js';
import { ROLES, type Role } from './roles.js';

/**
 * Recognizes the holder keys that a previous process of this controller wrote. They are recorded only once, at the
 * start, so that two processes of one controller that run at the same time do not keep taking roles from each other.
 */
export class PreviousProcessRoles {
  private holderKeyRevisions: ReadonlyMap<Role, Revision> | undefined;

  /** `member` is this controller's name. */
  constructor(
    private readonly member: string,
    private readonly store: RoleStore,
  ) {}

  /** Records the current holder keys at the first call, and does nothing at later calls. The store must be ready. */
  recordOnce(): void {
    if (this.holderKeyRevisions) return;
    const holderKeyRevisions = new Map<Role, Revision>();
    for (const role of ROLES) {
      const stored = this.store.get(roleHolderKey(role));
      if (stored && decodeHolder(stored.value)?.member === this.member)
        holderKeyRevisions.set(role, stored.modRevision);
    }
    this.holderKeyRevisions = holderKeyRevisions;
  }

  /** Whether a previous process wrote this revision of the role's holder key. */
  isHeldByPreviousProcess(role: Role, modRevision: Revision): boolean {
    return this.holderKeyRevisions?.get(role) === modRevision;
  }
}
