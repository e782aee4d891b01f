import { test } from "uvu";
import * as assert from "uvu/assert";
import { DurationModel } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";

/** Returns a normally distributed number with mean 0 and standard deviation 1. */
function normal(random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

function trainedModel(durationOf: (declaredMs: number) => number, ended = 100): DurationModel {
  const random = new SeededRandom(4);
  const model = new DurationModel();
  for (let index = 0; index < ended; index++) {
    const declaredMs = 1000 * Math.exp(normal(random));
    model.observe(declaredMs, durationOf(declaredMs));
  }
  return model;
}

test("the declared duration is expected until a task has ended", () => {
  assert.is(new DurationModel().expectedMs(700), 700);
});

test("declarations that are ten times too low or too high are corrected", () => {
  for (const factor of [0.1, 10]) {
    const model = trainedModel((declaredMs) => declaredMs * factor);
    for (const declaredMs of [300, 3000]) {
      const ratio = model.expectedMs(declaredMs) / (declaredMs * factor);
      assert.ok(ratio > 0.8 && ratio < 1.25, `${factor}: ${ratio}`);
    }
  }
});

test("the queue's usual duration replaces declarations that are unrelated to actual durations", () => {
  const model = trainedModel(() => 1000);
  const far = model.expectedMs(8000) / model.expectedMs(125);
  assert.ok(far < 2, `declared durations differ 64 times, expected ones ${far} times`);
});

test("a few ended tasks hardly change what is expected from declarations", () => {
  const model = trainedModel((declaredMs) => declaredMs * 10, 2);
  assert.ok(model.expectedMs(1000) < 3000);
  assert.ok(model.spread > 1);
});

test("the spread shrinks with accurate declarations and stays large with noisy ones", () => {
  const random = new SeededRandom(9);
  const noisy = trainedModel((declaredMs) => declaredMs * Math.exp(0.9 * normal(random)));
  assert.ok(trainedModel((declaredMs) => declaredMs).spread < 0.4);
  assert.ok(noisy.spread > 0.6, `${noisy.spread}`);
});

test.run();
