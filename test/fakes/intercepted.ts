/** Clients that pass every call to one function, in which a subclass can inject faults. */
import type { Result } from "ts-results";
import {
  BackendServer,
  type BackendResult,
  type TaskRef,
  type TaskSpec,
} from "../../src/ports/backend-server.ts";
import {
  KeyValueService,
  type KvDelete,
  type KvError,
  type KvPut,
  type KvWatch,
} from "../../src/ports/key-value-service.ts";

/** Reply of the key-value service. */
export type KvResult<T> = Promise<Result<T, KvError>>;

/** A client of the key-value service that passes every call to `intercept`. */
export abstract class InterceptedKeyValue extends KeyValueService {
  /** Makes a call. The service may hold its reply for up to `waitMs`. */
  protected abstract intercept<T>(
    call: (service: KeyValueService) => KvResult<T>,
    waitMs?: number,
  ): KvResult<T>;

  get(key: string) {
    return this.intercept((service) => service.get(key));
  }

  list(prefix: string) {
    return this.intercept((service) => service.list(prefix));
  }

  put(put: KvPut) {
    return this.intercept((service) => service.put(put));
  }

  delete(del: KvDelete) {
    return this.intercept((service) => service.delete(del));
  }

  watch(watch: KvWatch) {
    return this.intercept((service) => service.watch(watch), watch.waitMs);
  }

  grantLease(ttlMs: number) {
    return this.intercept((service) => service.grantLease(ttlMs));
  }

  renewLease(leaseId: string) {
    return this.intercept((service) => service.renewLease(leaseId));
  }

  revokeLease(leaseId: string) {
    return this.intercept((service) => service.revokeLease(leaseId));
  }
}

/** A client of one backend server that passes every call to `intercept`. */
export abstract class InterceptedBackend extends BackendServer {
  /** Makes a call. The server may hold its reply for up to `waitMs`. */
  protected abstract intercept<T>(
    call: (server: BackendServer) => BackendResult<T>,
    waitMs?: number,
  ): BackendResult<T>;

  acquireLease(holder: string, ttlMs: number) {
    return this.intercept((server) => server.acquireLease(holder, ttlMs));
  }

  renewLease(leaseId: string, ttlMs: number) {
    return this.intercept((server) => server.renewLease(leaseId, ttlMs));
  }

  releaseLease(leaseId: string, successor?: string) {
    return this.intercept((server) => server.releaseLease(leaseId, successor));
  }

  startTask(leaseId: string, spec: TaskSpec) {
    return this.intercept((server) => server.startTask(leaseId, spec));
  }

  listTasks(leaseId: string) {
    return this.intercept((server) => server.listTasks(leaseId));
  }

  pollEvents(leaseId: string, after: number, waitMs: number) {
    return this.intercept((server) => server.pollEvents(leaseId, after, waitMs), waitMs);
  }

  stopTask(leaseId: string, ref: TaskRef) {
    return this.intercept((server) => server.stopTask(leaseId, ref));
  }

  checkpointTask(leaseId: string, ref: TaskRef) {
    return this.intercept((server) => server.checkpointTask(leaseId, ref));
  }

  acknowledgeTask(leaseId: string, ref: TaskRef) {
    return this.intercept((server) => server.acknowledgeTask(leaseId, ref));
  }

  reboot(leaseId: string) {
    return this.intercept((server) => server.reboot(leaseId));
  }
}
