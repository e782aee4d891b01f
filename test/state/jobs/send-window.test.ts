import { test } from "uvu";
import * as assert from "uvu/assert";
import { MAX_QUEUE_MS, SendWindow } from "../../../src/state/jobs/execution/send-window.ts";

const FAST_BYTES_PER_MS = 125_000;
const SLOW_BYTES_PER_MS = 250;
const ORDER_BYTES = 2000;

function fill(window: SendWindow): object[] {
  const orders: object[] = [];
  while (window.open) {
    const order = {};
    window.reserve(order, ORDER_BYTES);
    orders.push(order);
  }
  return orders;
}

test("orders in flight on a slow link stay within the allowed queueing delay", () => {
  const orders = fill(new SendWindow(SLOW_BYTES_PER_MS));
  assert.ok(orders.length * ORDER_BYTES <= SLOW_BYTES_PER_MS * MAX_QUEUE_MS + ORDER_BYTES);
});

test("the window of a fast link does not delay the orders of a whole fleet", () => {
  assert.ok(fill(new SendWindow(FAST_BYTES_PER_MS)).length > 100);
});

test("one unresponsive server does not shrink the window for all others", () => {
  const window = new SendWindow(FAST_BYTES_PER_MS);
  const before = window.bytes;
  for (let index = 0; index < 40; index++) window.observe(index % 4 === 0 ? 900 : 5);
  assert.ok(window.bytes >= before);
});

test("the window shrinks when round trips to all servers grow, and recovers afterwards", () => {
  const window = new SendWindow(FAST_BYTES_PER_MS);
  const before = window.bytes;
  for (let index = 0; index < 60; index++) window.observe(2 * MAX_QUEUE_MS);
  assert.ok(window.bytes < before / 3);
  const shrunk = window.bytes;
  for (let index = 0; index < 200; index++) {
    const orders = fill(window);
    for (const order of orders) {
      window.observe(5);
      window.release(order);
    }
  }
  assert.ok(window.bytes > 2 * shrunk);
});

// Guards against a fast link that stays idle because executors or backend servers reply slowly.
test("round trips that the link can't cause do not shrink the window below what it sends at once", () => {
  const window = new SendWindow(FAST_BYTES_PER_MS);
  for (let index = 0; index < 400; index++) window.observe(2 * MAX_QUEUE_MS);
  assert.ok(fill(window).length > 100);
});

test("an order that is never sent releases its part of the window", () => {
  const window = new SendWindow(SLOW_BYTES_PER_MS);
  const orders = fill(window);
  assert.is(window.open, false);
  for (const order of orders) window.release(order);
  assert.is(window.open, true);
});

test.run();
