/** Membership state of incarnations in the homes document. */
export abstract class Membership {
  /**
   * Monotonic send time in milliseconds of the last call that confirmed this incarnation as an
   * active member; undefined if it is not known to be one.
   */
  abstract activeConfirmedAt(): number | undefined;
  /** Reads the homes document now. Returns true on success. */
  abstract refresh(): Promise<boolean>;
  /** True unless the incarnation is known to be an active member. */
  abstract mayBeRetired(incarnation: string): boolean;
}
