/** Waits in real time until the condition holds. Throws after `limitMs` milliseconds. */
export async function waitUntil(condition: () => boolean, limitMs = 5000): Promise<void> {
  const end = performance.now() + limitMs;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`condition not met within ${limitMs} ms`);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
