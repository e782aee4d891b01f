/** What the homes document says about incarnations. */
export abstract class Membership {
  /**
   * Monotonic time in milliseconds at which the last call was sent that showed this incarnation to
   * be an active member; undefined if it is not known to be one.
   */
  abstract activeConfirmedAt(): number | undefined;
  /** Reads the homes document now. */
  abstract refresh(): Promise<boolean>;
  /** True unless the incarnation is known to be an active member. */
  abstract retired(incarnation: string): boolean;
}
