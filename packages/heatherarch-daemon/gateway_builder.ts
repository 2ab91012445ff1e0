/**
 * The gateway of the process, and what it needs of the other parts.
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

/** Longest wait for the stream of a request that another VM serves, milliseconds. */
export const REMOTE_READ_TIMEOUT_MS = 3000;

/** Builds the gateway; `readRefusal` tells why this VM takes no requests now, if it doesn't. */
export function buildGateway(
  parts: Components,
  readRefusal: () => ServeError | undefined,
): Gateway {
  const tls = parts.settings.listen.callersTls;
  return new Gateway(
    buildGatewayHost(parts, readRefusal),
    tls === undefined ? {} : { tls: readCertificate(tls) },
  );
}

function buildGatewayHost(
  parts: Components,
  readRefusal: () => ServeError | undefined,
): GatewayHost {
  const { settings, clock, model, metrics } = parts;
  return {
    vmId: parts.identity.id,
    clock,
    limits: settings.requests,
    claimLimits: settings.claims,
    targets: parts.table,
    loadTracker: parts.tracker,
    model,
    demand: parts.demand,
    retries: new RetryBudget({ share: settings.requests.retryShare }),
    lookupReserve: new LookupReserve({
      share: settings.requests.lookupReserveShare,
    }),
    claims: parts.claims,
    requestWatch: parts.quarantineWatch,
    events: metrics,
    readRefusal,
    readFleet: () => parts.config.state.fleet,
    findProfile: (name) => parts.config.state.profiles[name]?.profile,
    getRouter: createRouterCache(model),
    countVms: () => parts.zones.countVms(),
    readRemoteStream: async (vmId, requestId, from) => {
      const unknown = { texts: [], state: "unknown" as const, model: "" };
      const body = { requestId, from };
      const call = parts.mesh.call(
        vmId,
        "stream.read",
        body,
        REMOTE_READ_TIMEOUT_MS,
      );
      return await (call as Promise<typeof unknown>).catch(() => unknown);
    },
  };
}

/** One router of each kind, created when it is first asked for. */
function createRouterCache(model: EngineModel): (kind: RoutingKind) => Router {
  const routers = new Map<RoutingKind, Router>();
  return (kind) => {
    const router = routers.get(kind) ?? createRouter(kind, model);
    routers.set(kind, router);
    return router;
  };
}
