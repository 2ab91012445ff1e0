/**
 * At-most-once claims across the VMs of an availability zone: finds the owner of a key's
 * shard, asks it, and limits the permission that comes back.
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
/** A claim without an outcome is called unknown, not in progress, after this long. */
const MAX_IN_PROGRESS_AGE_MS = 60_000;
/**
 * A claim younger than this is in progress whatever is known of its VM: one that has just
 * started may not have been heard yet (links take up to some seconds under load).
 */
const MEMBERSHIP_GRACE_MS = 5000;

/** Claims for one VM, and the shards that it owns. */
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

  /** Outcomes that are not in the log yet. */
  get pendingOutcomes(): number {
    return this.#pendingOutcomes;
  }

  listCounters(): ClaimShardCounters[] {
    return [...this.#shards.values()].map((shard) => shard.readCounters());
  }

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

  /** Claims under an id that may have been used before: the fold grants it again. */
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
      return this.#buildAnswer(verdict.val as ClaimVerdict, call, isValid);
    }
    // Never used: the key is given back as soon as the log answers.
    void this.#concludeWithRetries({ claimId: call.claimId, key: call.key });
    const message =
      `the key can't be confirmed, so the call was not run (${verdict.val})`;
    return buildRefusal(
      new ServeError("platformUnavailable", message, { run: "no" }),
    );
  }

  /** Waits until outcomes have reached the log. */
  async flush(timeoutMs: number): Promise<void> {
    const until = this.#options.clock.readMonotonicMs() + timeoutMs;
    while (
      this.#pendingOutcomes > 0 && this.#options.clock.readMonotonicMs() < until
    ) await sleep(20);
  }

  #buildAnswer(
    verdict: ClaimVerdict,
    call: ClaimCall,
    isValid: () => boolean,
  ): ClaimResult {
    switch (verdict.kind) {
      case "granted":
        return { kind: "granted", claim: this.#buildHeldClaim(call, isValid) };
      case "taken":
        return this.#buildTakenAnswer(verdict.holder);
      case "reused":
        return buildRefusal(
          new ServeError("keyReused", "the key was used for another call"),
        );
      case "expired": {
        const message =
          "the key's time lies outside the window in which keys are remembered";
        return buildRefusal(new ServeError("keyExpired", message));
      }
    }
  }

  #buildTakenAnswer(holder: KeyState): ClaimResult {
    if (holder.outcome !== undefined) {
      return { kind: "answered", answer: holder.outcome };
    }
    const ageMs = this.#options.clock.readWallMs() - holder.claimedAtMs;
    const isAlive = ageMs < MEMBERSHIP_GRACE_MS ||
      this.#isHolderAlive(holder.vm);
    if (ageMs < MAX_IN_PROGRESS_AGE_MS && isAlive) {
      const message = "a call with this key is in progress";
      return buildRefusal(new ServeError("keyInProgress", message));
    }
    const message =
      "a call with this key was begun and its outcome is not known; " +
      "it will not be run again";
    return buildRefusal(new ServeError("outcomeUnknown", message));
  }

  #buildHeldClaim(call: ClaimCall, isValid: () => boolean): HeldClaim {
    const { claimId, key } = call;
    return {
      isValid,
      conclude: (answer: StoredResponse) =>
        void this.#concludeWithRetries({ claimId, key, answer }),
      renew: () => this.#claimWithId(call),
      release: () => void this.#concludeWithRetries({ claimId, key }),
    };
  }

  #isHolderAlive(holder: string): boolean {
    const { vmId, incarnation, membership } = this.#options;
    if (holder === `${vmId}/${incarnation}`) return true;
    const [id, heldBy] = holder.split("/");
    const member = membership.getMember(id);
    return member !== undefined && member.status !== "suspect" &&
      member.incarnation === heldBy;
  }

  /** The VM of this zone that owns the key's shard, by the membership as seen here. */
  #findOwner(key: string): string {
    const { membership, availabilityZone, settings } = this.#options;
    const shard = computeShard(key, settings.shards);
    return pickRendezvous(
      `claims.${shard}`,
      membership.listLive(availabilityZone),
      1,
    )[0];
  }

  /** Asks the owner; the reason where no verdict could be had. */
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

  async #concludeWithRetries(call: ConcludeCall): Promise<void> {
    const { clock, mesh, vmId } = this.#options;
    const until = clock.readMonotonicMs() + CONCLUDE_TIMEOUT_MS;
    this.#pendingOutcomes++;
    try {
      while (clock.readMonotonicMs() < until) {
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
    const number = computeShard(key, settings.shards);
    let shard = this.#shards.get(number);
    if (shard === undefined) {
      shard = new ClaimShard({
        shard: number,
        log,
        clock,
        batchMs: settings.batchMs,
        maxBatch: settings.maxBatch,
        timeoutMs: settings.permissionMs,
        snapshotEveryRecords,
        keyWindowMs: settings.keyWindowMs,
        futureSkewMs: settings.futureSkewMs,
      });
      this.#shards.set(number, shard);
    }
    return shard;
  }
}

function buildRefusal(error: ServeError): ClaimResult {
  return { kind: "refused", error };
}
