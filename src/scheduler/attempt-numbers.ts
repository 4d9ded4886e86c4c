/** Issues attempt numbers that are unique across all terms. */
import { ATTEMPT_NUMBERS_PER_TERM, RESERVED_ATTEMPT_NUMBERS } from '../constants.js';

/**
 * Issues the attempt numbers of one term. The high bits of a number hold the term, so a number beyond the end of the
 * term's range would belong to the next term.
 */
export class AttemptNumberGenerator {
  constructor(
    private readonly term: number,
    private issuedCount = 0,
  ) {}

  /** Returns a number that no other attempt has. */
  next(): number {
    return this.term * ATTEMPT_NUMBERS_PER_TERM + ++this.issuedCount;
  }

  /** Whether a new term must begin because few numbers are left. One scheduling cycle issues fewer than are left. */
  get areRunningOut(): boolean {
    return this.issuedCount >= ATTEMPT_NUMBERS_PER_TERM - RESERVED_ATTEMPT_NUMBERS;
  }
}
