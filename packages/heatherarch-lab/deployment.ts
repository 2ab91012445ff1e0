/**
 * Deployments on loopback: zones, entry VMs, engines of both dialects and a booking service.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";
import {
  type Fleet,
  type ModelService,
  parseFleet,
  type Planning,
  type Target,
} from "heatherarch-settings";
import { findFreePorts } from "heatherarch-standins";

/** What a deployment looks like. */
export interface DeploymentShape {
  readonly name: string;
  readonly availabilityZones: readonly string[];
  readonly vmsPerZone: number;
  readonly enginesPerZone: number;
  readonly servicesPerZone: number;
  readonly modelService: string;
  readonly plainService: string;
  readonly planning?: Partial<Planning>;
  /** Speeds that the fleet configuration tells of its engines. */
  readonly speeds?: Partial<ModelService["speeds"]>;
  /** Role of the `index`-th of a zone's `count` engines. */
  readonly pickRole?: (index: number, count: number) => EngineRole;
}

/** One entry VM with its addresses. */
export interface DeployedVm {
  readonly id: string;
  readonly availabilityZone: string;
  readonly callers: string;
  readonly operators: string;
  readonly mesh: string;
}

/** A deployment with all addresses chosen. */
export interface Deployment {
  readonly fleet: Fleet;
  readonly vms: readonly DeployedVm[];
  readonly platform: string;
  readonly control: string;
}

/** Alalay's and Bomnal's deployments as the brief sizes them, and a small one to start with. */
export const SHAPES = {
  small: {
    name: "small",
    availabilityZones: ["zone-a", "zone-b"],
    vmsPerZone: 2,
    enginesPerZone: 3,
    servicesPerZone: 1,
    modelService: "reader",
    plainService: "bookings",
  },
  alalay: {
    name: "alalay",
    availabilityZones: ["pasay-a", "makati-b", "qc-c"],
    vmsPerZone: 3,
    enginesPerZone: 4,
    servicesPerZone: 1,
    modelService: "tagapagsalin",
    plainService: "talaan",
    planning: { changeWeight: 0.5 },
  },
  bomnal: {
    name: "bomnal",
    availabilityZones: ["seoul-a", "seoul-b", "seoul-c", "seoul-d"],
    vmsPerZone: 2,
    enginesPerZone: 3,
    servicesPerZone: 1,
    modelService: "gait-lm",
    plainService: "store-app",
    planning: { changeWeight: 3 },
  },
} as const satisfies Record<string, DeploymentShape>;

/** Name of a ready-made shape. */
export type ShapeName = keyof typeof SHAPES;

const PORTS_PER_VM = 3;

/** Chooses addresses for a deployment. */
export async function buildDeployment(
  shape: DeploymentShape,
): Promise<Deployment> {
  const { availabilityZones, vmsPerZone, enginesPerZone, servicesPerZone } =
    shape;
  const perZone = vmsPerZone * PORTS_PER_VM + enginesPerZone + servicesPerZone;
  const ports = await findFreePorts(2 + availabilityZones.length * perZone);
  const takeAddress = (): string => `127.0.0.1:${ports.pop()}`;
  const platform = takeAddress();
  const control = takeAddress();
  const vms: DeployedVm[] = [];
  const targets: Partial<Target>[] = [];
  for (const zone of availabilityZones) {
    for (let i = 0; i < vmsPerZone; i++) {
      vms.push({
        id: `${zone}-vm${i + 1}`,
        availabilityZone: zone,
        callers: takeAddress(),
        operators: takeAddress(),
        mesh: takeAddress(),
      });
    }
    targets.push(...buildTargets(shape, zone, takeAddress));
  }
  const fleet = parseFleet({
    deployment: shape.name,
    availabilityZones,
    services: [
      {
        name: shape.modelService,
        kind: "model",
        models: [`${shape.modelService}-7b`],
        speeds: shape.speeds ?? {},
      },
      { name: shape.plainService, kind: "plain", echoesTryId: true },
    ],
    targets,
    planning: shape.planning ?? {},
  });
  if (!fleet.ok) throw new Error(JSON.stringify(fleet.val));
  return { fleet: fleet.val as Fleet, vms, platform, control };
}

function buildTargets(
  shape: DeploymentShape,
  zone: string,
  takeAddress: () => string,
): Partial<Target>[] {
  const { enginesPerZone, servicesPerZone, modelService, plainService } = shape;
  const pickRole = shape.pickRole ?? pickDefaultRole;
  const engines = Array.from({ length: enginesPerZone }, (_, index) => ({
    id: `${zone}-engine${index + 1}`,
    service: modelService,
    availabilityZone: zone,
    address: takeAddress(),
    dialect: index % 2 === 0 ? "sse" as const : "ndjson" as const,
    checksFencing: index % 2 === 0,
    role: pickRole(index, enginesPerZone),
  }));
  const services = Array.from({ length: servicesPerZone }, (_, index) => ({
    id: `${zone}-service${index + 1}`,
    service: plainService,
    availabilityZone: zone,
    address: takeAddress(),
    maxConcurrent: 256,
  }));
  return [...engines, ...services];
}

/** Half of the engines prefill, the rest decode. */
function pickDefaultRole(index: number, count: number): EngineRole {
  return index < Math.floor(count / 2) ? "prefill" : "decode";
}
