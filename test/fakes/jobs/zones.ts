/** Zone of a simulated server: servers alternate between two zones. */
export function zoneOfServer(id: string): string {
  return `z${Number(id.slice(1)) % 2}`;
}
