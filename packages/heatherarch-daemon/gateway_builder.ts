/**
 * Builds the gateway of the process from the other components.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import { Gateway, type GatewayHost } from "heatherarch-gateway";
import {
  createRouter,
  type EngineModel,
  LookupReserve,
  RetryBudget,
  type Router,
} from "heatherarch-policy";
import type { RoutingKind } from "heatherarch-settings";
import { type Components, readCertificate } from "./components.ts";

/** Timeout of a read from the stream of a request that another VM serves. */
export const REMOTE_READ_TIMEOUT_MS = 3000;

/** Builds the gateway. `readRefusal` returns the error if this VM can serve no request now. */
export function buildGateway(
  components: Components,
  readRefusal: () => ServeError | undefined,
): Gateway {
  const tls = components.settings.listen.callersTls;
  return new Gateway(
    buildGatewayHost(components, readRefusal),
    tls === undefined ? {} : { tls: readCertificate(tls) },
  );
}

function buildGatewayHost(
  components: Components,
  readRefusal: () => ServeError | undefined,
): GatewayHost {
  const { settings, clock, model, metrics } = components;
  return {
    vmId: components.identity.id,
    clock,
    limits: settings.requests,
    claimLimits: settings.claims,
    targets: components.table,
    loadTracker: components.tracker,
    model,
    demand: components.demand,
    retries: new RetryBudget({ share: settings.requests.retryShare }),
    lookupReserve: new LookupReserve({
      share: settings.requests.lookupReserveShare,
    }),
    claims: components.claims,
    requestWatch: components.quarantineWatch,
    events: metrics,
    shutdown: components.shutdown,
    readRefusal,
    readFleet: () => components.config.state.fleet,
    findProfile: (name) => components.config.state.profiles[name]?.profile,
    getRouter: createRouterCache(model),
    countVms: () => components.zones.countVms(),
    readRemoteStream: async (vmId, requestId, from) => {
      const unknown = { texts: [], state: "unknown" as const, model: "" };
      const body = { requestId, from };
      const call = components.mesh.call(
        vmId,
        "stream.read",
        body,
        REMOTE_READ_TIMEOUT_MS,
      );
      return await (call as Promise<typeof unknown>).catch(() => unknown);
    },
  };
}

/** Returns a lookup of routers that creates each kind on first use. */
function createRouterCache(model: EngineModel): (kind: RoutingKind) => Router {
  const routers = new Map<RoutingKind, Router>();
  return (kind) => {
    const router = routers.get(kind) ?? createRouter(kind, model);
    routers.set(kind, router);
    return router;
  };
}
