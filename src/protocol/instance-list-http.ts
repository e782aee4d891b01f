/** HTTP API of the instance list, see section 10.3 of docs/design.md. */
import * as v from "valibot";

const amount = v.pipe(v.number(), v.minValue(0));

/** One instance of the list. */
export const ListedInstanceSchema = v.object({
  name: v.string(),
  address: v.string(),
  zone: v.string(),
  rack: v.string(),
  cores: amount,
  memoryGb: amount,
  accelerators: amount,
  slots: amount,
  state: v.picklist(["live", "leaving"]),
});

/** Reply of `GET /v1/instances`. */
export const InstancesSchema = v.array(ListedInstanceSchema);
