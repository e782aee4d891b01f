import { createHash } from "node:crypto";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";
import { ListedInstanceSchema } from "../protocol/instance-list-http.ts";
import { StandInServer, withBody } from "./stand-in-server.ts";
import type { StaticInstanceList } from "./static-instance-list.ts";

const RegistrationSchema = v.omit(ListedInstanceSchema, ["name"]);

/**
 * HTTP front end of an instance list. Backend servers register with `PUT` and deregister with
 * `DELETE`.
 */
export function serveInstanceList(clock: Clock, list: StaticInstanceList): StandInServer {
  return new StandInServer({
    clock,
    faultSwitches: {
      frozen: (on) => {
        list.setFrozen(on);
      },
    },
    routes: [
      {
        kind: "list",
        method: "GET",
        path: "/v1/instances",
        handle: async ({ ifNoneMatch }) => {
          const body = (await list.list()).unwrap();
          const hash = createHash("sha256").update(JSON.stringify(body)).digest("base64url");
          const etag = `"${hash.slice(0, 16)}"`;
          return ifNoneMatch === etag ? { status: 304, etag } : { status: 200, body, etag };
        },
      },
      {
        kind: "register",
        method: "PUT",
        path: "/v1/instances/:name",
        handle: (call) =>
          withBody(call, RegistrationSchema, (instance) => {
            list.set({ ...instance, name: call.params.name ?? "" });
            return Promise.resolve({ status: 204 });
          }),
      },
      {
        kind: "deregister",
        method: "DELETE",
        path: "/v1/instances/:name",
        handle: (call) => {
          list.remove(call.params.name ?? "");
          return { status: 204 };
        },
      },
    ],
  });
}
