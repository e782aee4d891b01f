import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { serveInstanceList } from "../../src/stand-ins/http-instance-list.ts";
import { StaticInstanceList } from "../../src/stand-ins/static-instance-list.ts";
import { HttpInstanceList } from "../../src/transport/http-instance-list.ts";

// Guards against a full transfer of the list on each read, which happens every second. Also guards
// against a cached list that outlives a change and hides a leaving server.
test("an unchanged list is not sent again, and a changed one is read at once", async () => {
  const clock = new SystemClock();
  const source = new StaticInstanceList();
  const instance = {
    ...{ name: "s1", address: "http://10.1.0.1:80", zone: "z1", rack: "r1" },
    ...{ cores: 16, memoryGb: 64, accelerators: 0, slots: 8 },
  };
  source.set({ ...instance, state: "live" });
  const server = serveInstanceList(clock, source);
  const list = new HttpInstanceList({ clock, url: (await server.listen("127.0.0.1", 0)).unwrap() });
  const first = (await list.list()).unwrap();
  assert.is((await list.list()).unwrap(), first);
  source.set({ ...instance, state: "leaving" });
  assert.is((await list.list()).unwrap()[0]?.state, "leaving");
  await list.close();
  await server.close();
});

test.run();
