import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigFollower } from "../../src/coordination/config-follower.ts";
import { ConfigStore } from "../../src/coordination/config-store.ts";
import { OperatorActions } from "../../src/coordination/operator-actions.ts";
import type { PeerState } from "../../src/coordination/ports.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { FakeOutageView } from "../fakes/peer-fakes.ts";
import { exampleConfig } from "../fakes/planned-fleet.ts";
import { NOOP_LOG, RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { SwitchedKeyValue } from "../fakes/switched-key-value.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const ZONES = ["a", "b", "c"];
const BOUND_MS = 5000;

/** One entry per zone. A seed determines how their links to each other and the platform change. */
class Region {
  readonly clock = new VirtualClock();
  readonly store = new KeyValueStore({ clock: this.clock });
  readonly #random: SeededRandom;
  readonly entries;
  readonly #cut = new Set<string>();

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.entries = ZONES.map((zone, index) => {
      const keyValue = new SwitchedKeyValue(this.store);
      const outage = new FakeOutageView();
      const parts = { clock: this.clock, random: new SeededRandom(seed + index), keyValue, outage };
      const counters = new RecordedCounters();
      const follower = new ConfigFollower({ ...parts, counters, log: NOOP_LOG, zone });
      follower.start();
      return { zone, keyValue, outage, follower };
    });
  }

  /**
   * Toggles one random link between entries and sets a random state of the platform link: of all
   * entries in one of four calls on average, otherwise of one entry.
   */
  changeLinks(): void {
    const draw = (count: number): number => Math.floor(this.#random.next() * count);
    const modes = ["up", "up", "down", "silent"] as const;
    const mode = modes[draw(modes.length)]!;
    if (draw(4) === 0) for (const entry of this.entries) entry.keyValue.mode = mode;
    else this.entries[draw(3)]!.keyValue.mode = mode;
    const link = ["ab", "ac", "bc"][draw(3)]!;
    if (!this.#cut.delete(link)) this.#cut.add(link);
  }

  /** Passes the state and the configuration of every entry to every peer that it has a link to. */
  gossip(): void {
    const requestedAt = this.clock.now();
    for (const to of this.entries) {
      for (const { zone, follower } of this.entries) {
        if (zone === to.zone || this.#cut.has([zone, to.zone].sort().join(""))) continue;
        const platformReachable = follower.platformReachable();
        const state = { hello: { zone }, message: { platformReachable }, requestedAt };
        to.outage.states.set(zone, state as unknown as PeerState);
        const text = follower.documentText();
        if (text !== undefined) to.follower.adopt(text, follower.ageMs());
      }
    }
  }
}

// Guards against an entry that accepts a withdrawn key after 5 s, whichever links are cut.
test("no entry accepts a withdrawn key 5 s after the first entry could read it", async () => {
  let accepted = 0;
  let refused = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const region = new Region(seed);
    const { clock, store, entries } = region;
    const configStore = new ConfigStore({ clock, keyValue: store });
    const random = new SeededRandom(seed);
    const operator = new OperatorActions({ clock, random, store: configStore });
    await operator.apply(exampleConfig());
    const key = (await operator.issueKey("suppliers")).unwrap();
    await clock.advance(1000);
    let withdrawn = Infinity;
    let firstRead: number | undefined;
    for (let step = 0; step < 300; step++) {
      if (step % 15 === 0) region.changeLinks();
      if (step % 5 === 0) region.gossip();
      if (step === 100) withdrawn = (await operator.withdrawKey("suppliers", key.keyId)).unwrap();
      await clock.advance(100);
      const read = entries.some((e) => (e.follower.current()?.revision ?? 0) >= withdrawn);
      if (read) firstRead ??= clock.now();
      for (const { zone, follower } of entries) {
        const accepts = follower.keyedWorkAllowed() && follower.teamOfKey(key.clear) !== undefined;
        if (accepts) accepted++;
        else refused++;
        const late = firstRead !== undefined && clock.now() > firstRead + BOUND_MS;
        assert.not(accepts && late, `seed ${seed}, zone ${zone}, step ${step}`);
      }
    }
  }
  assert.ok(accepted > 5000 && refused > 5000, `${accepted} accepted, ${refused} refused`);
});

test.run();
