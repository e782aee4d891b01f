/** UUID version 7 at the end of an id. Its first 48 bits are milliseconds since the Unix epoch. */
const UUID_V7 = /([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Creation time in milliseconds since the Unix epoch; undefined if the id does not end in a UUIDv7.
 */
export function idCreationTime(requestId: string): number | undefined {
  const match = UUID_V7.exec(requestId);
  return match === null ? undefined : parseInt(`${match[1] ?? ""}${match[2] ?? ""}`, 16);
}
