/**
 * Client accounts whose returns one VM has booked for one group, with the booked times.
 *
 * @module
 */

interface Booking {
  readonly account: string | undefined;
  /** Time at which the client returns, monotonic milliseconds. */
  readonly atMs: number;
}

/** Bookings that are kept; the accounts of further ones are not recorded. */
const MAX_BOOKINGS = 4096;

/** Accounts of booked returns. */
export class BookedAccounts {
  #bookings: Booking[] = [];

  /** Records that a return of an account is booked for a time. */
  record(account: string | undefined, atMs: number): void {
    if (this.#bookings.length >= MAX_BOOKINGS) return;
    this.#bookings.push({ account, atMs });
  }

  /** Share of the returns in a span of time that an account has; 0 if there are none. */
  computeShare(
    account: string,
    { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number },
  ): number {
    const due = this.#bookings.filter(({ atMs }) =>
      atMs >= fromMs && atMs <= untilMs
    );
    const own = due.filter((booking) => booking.account === account);
    return own.length / Math.max(1, due.length);
  }

  /** Removes the bookings for times before `atMs`. */
  removeBefore(atMs: number): void {
    if (this.#bookings.every((booking) => booking.atMs >= atMs)) return;
    this.#bookings = this.#bookings.filter((booking) => booking.atMs >= atMs);
  }
}
