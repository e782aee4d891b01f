import { test } from "uvu";
import * as assert from "uvu/assert";
import { MAX_QUEUE_MS, SendWindow } from "../../../src/state/jobs/send-window.ts";

const FAST = 125_000;
const SLOW = 250;
const ORDER = 2000;

function fill(window: SendWindow): object[] {
  const orders: object[] = [];
  while (window.open) {
    const order = {};
    window.reserve(order, ORDER);
    orders.push(order);
  }
  return orders;
}

test("a slow link holds no more than it carries within the allowed queue", () => {
  const orders = fill(new SendWindow(SLOW));
  assert.ok(orders.length * ORDER <= SLOW * MAX_QUEUE_MS + ORDER);
});

test("a fast link does not hold back a fleet's orders", () => {
  assert.ok(fill(new SendWindow(FAST)).length > 100);
});

test("one silent server does not close the window for all others", () => {
  const window = new SendWindow(FAST);
  const before = window.bytes;
  for (let index = 0; index < 40; index++) window.observe(index % 4 === 0 ? 900 : 5);
  assert.ok(window.bytes >= before);
});

test("round trips that grow everywhere close the window, and it opens again", () => {
  const window = new SendWindow(FAST);
  const before = window.bytes;
  for (let index = 0; index < 60; index++) window.observe(2 * MAX_QUEUE_MS);
  assert.ok(window.bytes < before / 3);
  const closed = window.bytes;
  for (let index = 0; index < 200; index++) {
    const orders = fill(window);
    for (const order of orders) {
      window.observe(5);
      window.release(order);
    }
  }
  assert.ok(window.bytes > 2 * closed);
});

test("an order that is never sent gives its room back", () => {
  const window = new SendWindow(SLOW);
  const orders = fill(window);
  assert.is(window.open, false);
  for (const order of orders) window.release(order);
  assert.is(window.open, true);
});

test.run();
