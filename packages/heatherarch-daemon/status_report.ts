/**
 * Status report of one VM for operators.
 *
 * @module
 */
import type { Components } from "./components.ts";

/** Builds the response body of `GET /v1/status`. */
export function buildStatus(components: Components, leaving: boolean): unknown {
  const {
    identity,
    config,
    control,
    membership,
    table,
    claims,
    clock,
    gateway,
    mesh,
    zones,
  } = components;
  const nowMs = clock.readMonotonicMs();
  const { claim } = control.state;
  return {
    vm: { ...identity, leaving, inFlight: gateway.inFlight },
    config: {
      offset: config.state.offset,
      fleetRevision: config.state.fleetRevision,
      relay: config.isRelay(),
      platformUp: config.isPlatformUp,
      staleMs: Number.isFinite(config.currentAtMs)
        ? Math.round(nowMs - config.currentAtMs)
        : null,
    },
    lease: {
      holder: claim?.vm ?? null,
      fencing: claim?.claimOffset ?? null,
      released: claim?.released ?? false,
      heldHere: control.hasAuthority(),
      controlOffset: control.state.offset,
      open: Object.values(control.state.open),
      recent: control.state.recent.slice(-10),
      roleChanges: control.state.roleChanges,
    },
    members: membership.listMembers().map((member) => ({
      ...member,
      lastHeardMs: Number.isFinite(member.lastHeardMs)
        ? Math.round(nowMs - member.lastHeardMs)
        : null,
    })),
    availabilityZones: zones.listZones(),
    targets: table.listStatus(),
    claims: claims.listCounters(),
    mesh: { ...mesh.readTraffic(), resets: mesh.resets },
    demand: zones.readDemand(),
  };
}
