/**
 * Interface to the platform's list of VMs, and its HTTP client. The list lags, so it is only a
 * hint.
 *
 * @module
 */
import { request } from "undici";
import { readBytes } from "heatherarch-core";
import { z } from "zod";

/** A list of a thousand VMs takes some hundred KiB. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

const VM_LIST = z.object({
  vms: z.array(z.object({
    id: z.string(),
    kind: z.enum(["entry", "target"]),
    availabilityZone: z.string(),
    state: z.enum(["live", "leaving"]),
    /** Mesh address of an entry VM. */
    address: z.string().optional(),
  })),
});

/** One VM of the list. */
export type ListedVm = z.infer<typeof VM_LIST>["vms"][number];

/** The platform's list of live and leaving VMs. */
export interface VmListPort {
  readVms(): Promise<readonly ListedVm[]>;
}

/** Client of a list that one URL serves. */
export class HttpVmList implements VmListPort {
  readonly #url: string;
  readonly #timeoutMs: number;

  constructor(options: { url: string; timeoutMs?: number }) {
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs ?? 2000;
  }

  async readVms(): Promise<readonly ListedVm[]> {
    const signal = AbortSignal.timeout(this.#timeoutMs);
    const response = await request(this.#url, { signal });
    const bytes = await readBytes(response.body, {
      maxBytes: MAX_RESPONSE_BYTES,
    });
    return VM_LIST.parse(JSON.parse(bytes.toString("utf8"))).vms;
  }
}
