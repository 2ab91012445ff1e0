/**
 * Test fixtures for the forwarding path.
 *
 * @module
 */
import { type Clock, RuntimeClock } from "heatherarch-core";
import { Shutdown } from "heatherarch-shutdown";
import {
  type EngineTraits,
  FleetDemand,
  type GenerationParams,
  type PathMonitor,
  ReturnTimes,
  type Route,
  type RoutingConfig,
  type Target,
  TargetRateLimits,
} from "../../mod.ts";

/** Builds a target; by default of a plain service. */
export function buildTarget(
  id: string,
  overrides: Partial<Target> = {},
): Target {
  return {
    id,
    service: "s",
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 6,
    leaving: false,
    softwareVersion: "v1",
    ...overrides,
  };
}

/** Builds an engine; by default a prefill engine. */
export function buildEngine(
  id: string,
  overrides: Partial<Target> = {},
): Target {
  return buildTarget(id, { role: "prefill", slots: 64, ...overrides });
}

/** Builds the rate limits of a VM without peers. */
export function buildRateLimits(): {
  readonly fleetDemand: FleetDemand;
  readonly rateLimits: TargetRateLimits;
  readonly returnTimes: ReturnTimes;
} {
  const fleetDemand = new FleetDemand();
  const rateLimits = new TargetRateLimits({
    share: fleetDemand,
    drawUnit: () => 0,
  });
  const returnTimes = new ReturnTimes({
    share: fleetDemand,
    drawUnit: () => 0,
  });
  return { fleetDemand, rateLimits, returnTimes };
}

/** Builds the monitor of a VM that reaches all targets. */
export function buildIdlePathMonitor(): PathMonitor {
  const monitor: Pick<
    PathMonitor,
    | "hasPath"
    | "hasPathTo"
    | "recordTrouble"
    | "getLastContactAtMs"
    | "registerLossListener"
    | "confirmRefusal"
    | "confirmPath"
  > = {
    hasPath: () => true,
    hasPathTo: () => true,
    confirmRefusal: () => Promise.resolve(true),
    confirmPath: () => Promise.resolve(true),
    recordTrouble: () => undefined,
    getLastContactAtMs: () => Infinity,
    registerLossListener: () => () => undefined,
  };
  return monitor as PathMonitor;
}

/** Builds a route; by default of idempotent calls. */
export function buildRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/a/",
    kind: "idempotent",
    timeoutMs: 2000,
    aimMs: 300,
    priority: 0,
    maxTargets: 2,
    isKeyExempt: false,
    services: [{ service: "s", weight: 1 }],
    ...overrides,
  };
}

/** Builds a configuration; by default with one plain service. */
export function buildConfig(
  overrides: Partial<RoutingConfig> = {},
): RoutingConfig {
  return {
    version: 1,
    routes: [buildRoute()],
    services: [{ name: "s", maxConnections: 100 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    accounts: null,
    ...overrides,
  };
}

/** Capabilities of an engine as users specify them. */
export const TRAITS: EngineTraits = {
  slots: 64,
  kvTokens: 483_452,
  kvBytesPerToken: 163_840,
  linkMbps: 1_900_000,
  roleChangeMs: 3000,
};

/** Builds a prompt; by default with a long shared prefix. */
export function buildPrompt(
  key: string,
  shared = 13_300,
  own = 3720,
): GenerationParams {
  return {
    model: "m",
    promptTokens: shared + own,
    maxOutputTokens: 120,
    parts: [{ id: key, tokens: shared }, { id: `${key}-own`, tokens: own }],
  };
}

/** Grace period and notice of {@linkcode createShutdown}, milliseconds. */
export const GRACE_MS = 8000;
export const NOTICE_MS = 2800;

/** Creates the shutdown of a VM; it has not begun. */
export function createShutdown(clock: Clock = new RuntimeClock()): Shutdown {
  return new Shutdown({
    clock,
    graceMs: GRACE_MS,
    noticeMs: NOTICE_MS,
    onError: (error) => {
      throw error;
    },
  });
}
