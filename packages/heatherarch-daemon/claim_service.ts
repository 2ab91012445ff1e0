/**
 * At-most-once claims across the VMs of an availability zone: sends a claim to the VM that owns the
 * key's shard, and limits the time for which a granted claim is valid.
 *
 * @module
 */
import {
  type Clock,
  createId,
  Err,
  Ok,
  pickRendezvous,
  type Result,
  ServeError,
  sleep,
} from "heatherarch-core";
import {
  ClaimShard,
  type ClaimShardCounters,
  type ClaimVerdict,
  computeShard,
  type KeyState,
} from "heatherarch-claims";
import type {
  ClaimClient,
  ClaimResult,
  HeldClaim,
  StoredResponse,
} from "heatherarch-gateway";
import type { LogPort } from "heatherarch-log";
import type { Membership, MeshNode } from "heatherarch-mesh";
import type { ProcessSettings } from "heatherarch-settings";
import { z } from "zod";

/** Options of {@linkcode ClaimService}. */
export interface ClaimServiceOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly log: LogPort;
  readonly clock: Clock;
  readonly membership: Membership;
  readonly mesh: MeshNode;
  readonly settings: ProcessSettings["claims"];
  readonly snapshotEveryRecords: number;
}

const CLAIM_CALL = z.object({
  claimId: z.string(),
  key: z.string(),
  madeAtMs: z.number(),
  fingerprint: z.string(),
  vm: z.string(),
});
const CONCLUDE_CALL = z.object({
  claimId: z.string(),
  key: z.string(),
  answer: z.object({
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string().optional(),
  }).optional(),
});

type ClaimCall = z.infer<typeof CLAIM_CALL>;
type ConcludeCall = z.infer<typeof CONCLUDE_CALL>;

const CONCLUDE_RETRY_DELAY_MS = 500;
const CONCLUDE_TIMEOUT_MS = 600_000;
/** A claim without an outcome counts as in progress up to this age, and then as unknown. */
const MAX_IN_PROGRESS_AGE_MS = 60_000;
/**
 * A claim younger than this counts as in progress even if its VM is not a known member. A VM that
 * has just started may be unknown here, since links take up to some seconds to open under load.
 */
const MEMBERSHIP_GRACE_MS = 5000;

/** Makes the claims of one VM, and serves the shards that this VM owns. */
export class ClaimService implements ClaimClient {
  readonly #options: ClaimServiceOptions;
  readonly #shards = new Map<number, ClaimShard>();
  #pendingOutcomes = 0;

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
    const { mesh } = options;
    mesh.registerCall(
      "claims.claim",
      (body) => this.#claimLocally(CLAIM_CALL.parse(body)),
    );
    mesh.registerCall(
      "claims.conclude",
      (body) => this.#concludeLocally(CONCLUDE_CALL.parse(body)),
    );
  }

  /** Number of outcomes that are not in the log yet. */
  get pendingOutcomes(): number {
    return this.#pendingOutcomes;
  }

  /** Lists the counters of the shards that this VM has used. */
  listCounters(): ClaimShardCounters[] {
    return [...this.#shards.values()].map((shard) => shard.readCounters());
  }

  /** Claims a key under a new claim id. */
  async claim(
    request: { key: string; madeAtMs: number; fingerprint: string },
  ): Promise<ClaimResult> {
    const { vmId, incarnation } = this.#options;
    const claimId = createId("claim");
    return await this.#claimWithId({
      ...request,
      claimId,
      vm: `${vmId}/${incarnation}`,
    });
  }

  /** Claims with an id that may have been used before. The fold grants the same id again. */
  async #claimWithId(call: ClaimCall): Promise<ClaimResult> {
    const { clock, settings } = this.#options;
    const sentAtMs = clock.readMonotonicMs();
    const owner = this.#findOwner(call.key);
    const verdict = await this.#requestVerdict(owner, call);
    const validUntilMs = sentAtMs + settings.permissionMs;
    const isValid = (): boolean =>
      clock.readMonotonicMs() < validUntilMs &&
      this.#findOwner(call.key) === owner;
    if (verdict.ok) {
      return this.#buildClaimResult(verdict.val as ClaimVerdict, call, isValid);
    }
    // The claim is not used, so the key is released as soon as the log responds.
    void this.#concludeWithRetries({ claimId: call.claimId, key: call.key });
    const message =
      `the claim can't be confirmed, so the call was not run (${verdict.val})`;
    return buildRefusal(
      new ServeError("platformUnavailable", message, { run: "no" }),
    );
  }

  /** Waits until all outcomes are in the log, or until the timeout. */
  async flush(timeoutMs: number): Promise<void> {
    const deadlineMs = this.#options.clock.readMonotonicMs() + timeoutMs;
    while (
      this.#pendingOutcomes > 0 &&
      this.#options.clock.readMonotonicMs() < deadlineMs
    ) await sleep(20);
  }

  #buildClaimResult(
    verdict: ClaimVerdict,
    call: ClaimCall,
    isValid: () => boolean,
  ): ClaimResult {
    switch (verdict.kind) {
      case "granted":
        return { kind: "granted", claim: this.#buildHeldClaim(call, isValid) };
      case "taken":
        return this.#buildTakenResult(verdict.holder);
      case "reused":
        return buildRefusal(
          new ServeError("keyReused", "the key was used for another call"),
        );
      case "expired": {
        const message =
          "the key's time is outside the window in which keys are kept";
        return buildRefusal(new ServeError("keyExpired", message));
      }
    }
  }

  #buildTakenResult(holder: KeyState): ClaimResult {
    if (holder.outcome !== undefined) {
      return { kind: "answered", response: holder.outcome };
    }
    const ageMs = this.#options.clock.readWallMs() - holder.claimedAtMs;
    const isAlive = ageMs < MEMBERSHIP_GRACE_MS ||
      this.#isHolderAlive(holder.vm);
    if (ageMs < MAX_IN_PROGRESS_AGE_MS && isAlive) {
      const message = "a call with this key is in progress";
      return buildRefusal(new ServeError("keyInProgress", message));
    }
    const message =
      "a call with this key was started and its outcome is unknown; " +
      "it will not be run again";
    return buildRefusal(new ServeError("outcomeUnknown", message));
  }

  #buildHeldClaim(call: ClaimCall, isValid: () => boolean): HeldClaim {
    const { claimId, key } = call;
    return {
      isValid,
      conclude: (response: StoredResponse) =>
        void this.#concludeWithRetries({ claimId, key, answer: response }),
      renew: () => this.#claimWithId(call),
      release: () => void this.#concludeWithRetries({ claimId, key }),
    };
  }

  #isHolderAlive(holder: string): boolean {
    const { vmId, incarnation, membership } = this.#options;
    if (holder === `${vmId}/${incarnation}`) return true;
    const [id, holderIncarnation] = holder.split("/");
    const member = membership.getMember(id);
    return member !== undefined && member.status !== "suspect" &&
      member.incarnation === holderIncarnation;
  }

  /** Returns the VM that owns the key's shard, according to this VM's view of the membership. */
  #findOwner(key: string): string {
    const { membership, availabilityZone, settings } = this.#options;
    const shard = computeShard(key, settings.shards);
    return pickRendezvous(
      `claims.${shard}`,
      membership.listLive(availabilityZone),
      1,
    )[0];
  }

  /** Requests a verdict from the owner. Returns the error message if there is none. */
  async #requestVerdict(
    owner: string,
    call: ClaimCall,
  ): Promise<Result<ClaimVerdict, string>> {
    const { vmId, mesh, settings } = this.#options;
    try {
      if (owner === vmId) return Ok(await this.#claimLocally(call));
      const reply = await mesh.call(
        owner,
        "claims.claim",
        call,
        settings.permissionMs,
      );
      return Ok(reply as ClaimVerdict);
    } catch (error) {
      return Err((error as Error).message);
    }
  }

  #claimLocally(call: ClaimCall): Promise<ClaimVerdict> {
    return this.#getShard(call.key).claim({ op: "claim", ...call });
  }

  async #concludeLocally(call: ConcludeCall): Promise<boolean> {
    const { claimId, key, answer } = call;
    await this.#getShard(key).conclude(
      answer === undefined
        ? { op: "release", claimId, key }
        : { op: "conclude", claimId, key, outcome: answer },
    );
    return true;
  }

  /** Concludes or releases a claim, and retries until it is recorded or until the timeout. */
  async #concludeWithRetries(call: ConcludeCall): Promise<void> {
    const { clock, mesh, vmId } = this.#options;
    const deadlineMs = clock.readMonotonicMs() + CONCLUDE_TIMEOUT_MS;
    this.#pendingOutcomes++;
    try {
      while (clock.readMonotonicMs() < deadlineMs) {
        try {
          const owner = this.#findOwner(call.key);
          if (owner === vmId) await this.#concludeLocally(call);
          else {await mesh.call(
              owner,
              "claims.conclude",
              call,
              this.#options.settings.permissionMs,
            );}
          return;
        } catch {
          await sleep(CONCLUDE_RETRY_DELAY_MS);
        }
      }
    } finally {
      this.#pendingOutcomes--;
    }
  }

  #getShard(key: string): ClaimShard {
    const { settings, log, clock, snapshotEveryRecords } = this.#options;
    const shardNumber = computeShard(key, settings.shards);
    let shard = this.#shards.get(shardNumber);
    if (shard === undefined) {
      shard = new ClaimShard({
        shard: shardNumber,
        log,
        clock,
        batchMs: settings.batchMs,
        maxBatch: settings.maxBatch,
        timeoutMs: settings.permissionMs,
        snapshotEveryRecords,
        keyWindowMs: settings.keyWindowMs,
        futureSkewMs: settings.futureSkewMs,
      });
      this.#shards.set(shardNumber, shard);
    }
    return shard;
  }
}

function buildRefusal(error: ServeError): ClaimResult {
  return { kind: "refused", error };
}
