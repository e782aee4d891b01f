/** What the homes document says about incarnations. */
export abstract class Membership {
  /**
   * Monotonic time in milliseconds at which the last call was sent that showed this incarnation to
   * be an active member; undefined if it is not known to be one.
   */
  abstract activeAsOf(): number | undefined;
  /** Reads the homes document now. */
  abstract refresh(): Promise<boolean>;
  /** True if the incarnation is marked as retired, or was and is no longer listed. */
  abstract retired(incarnation: string): boolean;
}
