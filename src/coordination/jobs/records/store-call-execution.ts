import type { Result } from "ts-results";
import type { RecordStore, StoreError } from "../../../ports/record-store.ts";
import type { StoreCall } from "../../../protocol/store-calls.ts";

/** Executes a decoded store call on a store. */
export function executeStoreCall(
  store: RecordStore,
  call: StoreCall,
): Promise<Result<unknown, StoreError>> {
  switch (call.kind) {
    case "get":
      return store.get(call.key);
    case "range":
      return store.range(call.prefix);
    case "watch":
      return store.watch(call.prefix, call.after, call.waitMs);
    case "commit":
      return store.commit(call.txn);
    case "grant":
      return store.grantLease(call.ttlMs);
    case "keep":
      return store.renewLease(call.lease);
    case "end":
      return store.revokeLease(call.lease);
  }
}
