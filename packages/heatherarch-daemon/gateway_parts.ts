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
import { type Parts, readCertificate } from "./parts.ts";

/** Longest wait for the stream of a request that another VM serves, milliseconds. */
export const REMOTE_READ_MS = 3000;

/** Builds the gateway; `readRefusal` tells why this VM takes no requests now, if it doesn't. */
export function buildGateway(
  parts: Parts,
  readRefusal: () => ServeError | undefined,
): Gateway {
  const tls = parts.settings.listen.callersTls;
  return new Gateway(
    buildHost(parts, readRefusal),
    tls === undefined ? {} : { tls: readCertificate(tls) },
  );
}

function buildHost(
  parts: Parts,
  readRefusal: () => ServeError | undefined,
): GatewayHost {
  const { settings, clock, model, metrics } = parts;
  return {
    vmId: parts.identity.id,
    clock,
    limits: settings.requests,
    claimLimits: settings.claims,
    targets: parts.table,
    tracker: parts.tracker,
    model,
    demand: parts.demand,
    retries: new RetryBudget({ share: settings.requests.retryShare }),
    lookups: new LookupReserve({
      share: settings.requests.lookupReserveShare,
    }),
    claims: parts.claims,
    requests: parts.requests,
    events: metrics,
    readRefusal,
    readFleet: () => parts.config.state.fleet,
    findProfile: (name) => parts.config.state.profiles[name]?.profile,
    getRouter: createRouters(model),
    countVms: () => parts.zones.countVms(),
    readRemoteStream: async (vmId, requestId, from) => {
      const unknown = { texts: [], state: "unknown" as const, model: "" };
      const body = { requestId, from };
      const call = parts.mesh.call(vmId, "stream.read", body, REMOTE_READ_MS);
      return await (call as Promise<typeof unknown>).catch(() => unknown);
    },
  };
}

/** One router of each kind, created when it is first asked for. */
function createRouters(model: EngineModel): (kind: RoutingKind) => Router {
  const routers = new Map<RoutingKind, Router>();
  return (kind) => {
    const router = routers.get(kind) ?? createRouter(kind, model);
    routers.set(kind, router);
    return router;
  };
}
