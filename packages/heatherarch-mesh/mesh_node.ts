/**
 * Mesh node of one entry VM. It accepts and dials links, replaces silent ones, and carries
 * heartbeats and calls.
 *
 * @module
 */
import type { Server, Socket } from "node:net";
import { type Clock, retryListen } from "heatherarch-core";
import { Link, type LinkCloseReason, type LinkIdentity } from "./link.ts";
import { type LoopStall, LoopStallDetector } from "./loop_stall_detector.ts";
import type { Member, Membership } from "./membership.ts";
import type { Heartbeat, MeshMessage } from "./messages.ts";
import { type CallHandler, MeshCalls } from "./mesh_calls.ts";
import { dialSocket, listenSockets, type MeshTls } from "./mesh_sockets.ts";
import { MeshCallError } from "./pending_calls.ts";
import { computeMinRoundIntervalMs } from "./round_interval.ts";

/**
 * Receives heartbeats. A heartbeat may have waited in its socket for up to `waitedMs` while this
 * process was stalled. Its data may be older by that time than it states.
 */
export type HeartbeatListener = (
  heartbeat: Heartbeat,
  from: LinkIdentity,
  waitedMs: number,
) => void;

/** What happens on a connection that a peer opened for a purpose other than the mesh. */
export interface LinkListener {
  onMessage(message: MeshMessage): void;
  onClose(): void;
}

/** Options of {@linkcode MeshNode}. */
export interface MeshNodeOptions {
  readonly self: LinkIdentity;
  /** Address to listen on, `ip:port`. */
  readonly listen: string;
  /** Called with the reason if the address is not available and is tried again. */
  readonly onListenRetry?: (reason: string) => void;
  readonly sharedKey: string;
  readonly maxFrameBytes: number;
  readonly heartbeatMs: number;
  /** Minimum heartbeat interval per link, so that more links have less frequent heartbeats. */
  readonly heartbeatPerLinkMs?: number;
  /** Interval between heartbeats of a hub, milliseconds. */
  readonly hubHeartbeatMs?: number;
  /**
   * Interval between heartbeats of a VM that sends to hubs while nothing changes, milliseconds.
   * Changes are sent when they occur. The default is the interval of a hub.
   */
  readonly idleHeartbeatMs?: number;
  readonly silenceMs: number;
  readonly tls?: MeshTls;
  readonly clock: Clock;
  readonly membership: Membership;
  /** Maps the address that a peer announces to the address that this VM dials. */
  readonly translate: (address: string) => string;
  /**
   * Builds the heartbeat for one link, with the changes since the last one on that link. Returns
   * undefined if this round sends none on the link.
   */
  readonly buildHeartbeat: (
    link: Link,
    peer: LinkIdentity,
  ) => Heartbeat | undefined;
  /** Called when a link is closed while the node runs. */
  readonly onLinkClosed: (reason: LinkCloseReason) => void;
  /** Called when the process runs again after a stall. */
  readonly onLoopStall?: (stall: LoopStall) => void;
  /** Accepts a connection over which a peer hands calls over. By default it is closed. */
  readonly acceptHandover?: (link: Link) => LinkListener;
  /** Called before the heartbeats of a round are built. */
  readonly onRound?: () => void;
}

/** Connections to a peer that this VM dials. */
interface DialState {
  link: Link | undefined;
  /** Second connection, which is opened when `link` is silent. */
  probe: Link | undefined;
  /** Monotonic time before which the peer is not dialed again. */
  nextDialMs: number;
  failures: number;
}

const MAX_DIAL_BACKOFF_MS = 5000;
/** Time within which the data that waited in sockets during a stall is read, milliseconds. */
const CATCH_UP_MS = 50;
/** Number of pongs that an otherwise idle link carries within the silence timeout. */
const PONGS_PER_SILENCE_TIMEOUT = 6;

/** Byte counters of all links, for metrics. */
export interface MeshTraffic {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly links: number;
}

/** Owner of all mesh sockets of this process. */
export class MeshNode {
  readonly #options: MeshNodeOptions;
  readonly #heartbeatListeners = new Set<HeartbeatListener>();
  readonly #dialed = new Map<string, DialState>();
  readonly #accepted = new Set<Link>();
  /** Connections over which peers hand calls over. */
  readonly #handovers = new Map<Link, LinkListener>();
  readonly #calls = new MeshCalls();
  readonly #loopStalls: LoopStallDetector;
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  #closedBytesSent = 0;
  #closedBytesReceived = 0;
  #resets = 0;
  #lastRoundMs = -Infinity;
  #isRoundDue = false;
  #stopped = false;

  constructor(options: MeshNodeOptions) {
    this.#options = options;
    this.#loopStalls = new LoopStallDetector({
      getTickIntervalMs: () => this.intervalMs,
      onStall: options.onLoopStall,
    });
  }

  /** Starts to listen and to dial peers. */
  async start(): Promise<void> {
    const { listen, tls, onListenRetry: onRetry } = this.#options;
    this.#server = await retryListen(
      () => listenSockets(listen, tls, (socket) => this.#accept(socket)),
      { onRetry },
    );
    if (this.#stopped) this.#server.close();
    this.#tick();
  }

  /** Closes all links. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#server?.close();
    for (const link of this.#listLinks()) link.close("closed");
  }

  /** Registers the handler of a method. Returns its removal. */
  registerCall(method: string, handler: CallHandler): () => void {
    return this.#calls.register(method, handler);
  }

  /** Registers a listener for heartbeats. Returns its removal. */
  registerHeartbeatListener(listener: HeartbeatListener): () => void {
    this.#heartbeatListeners.add(listener);
    return () => {
      this.#heartbeatListeners.delete(listener);
    };
  }

  /** Calls a method of a peer. Rejects with {@linkcode MeshCallError} if it fails or times out. */
  call(
    peerId: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const link = this.#findLink(peerId);
    if (link === undefined) {
      return Promise.reject(new MeshCallError(`no link to ${peerId}`));
    }
    return this.#calls.send(link, method, body, timeoutMs);
  }

  /** Whether there is a ready link to the peer. */
  hasLink(peerId: string): boolean {
    return this.#findLink(peerId) !== undefined;
  }

  /** Sends a heartbeat on every link at once. */
  sendHeartbeats(): void {
    for (const link of this.#listReadyLinks()) this.#sendHeartbeat(link);
  }

  /**
   * Requests a round of heartbeats for a change that peers should learn soon. The round starts at
   * once, or when the minimum interval since the last one is over. Several requests in one tick
   * start one round.
   */
  requestRound(): void {
    if (this.#isRoundDue || this.#stopped || this.#timer === undefined) return;
    this.#isRoundDue = true;
    const elapsedMs = this.#options.clock.readMonotonicMs() - this.#lastRoundMs;
    const { hasHubs } = this.#options.membership;
    const waitMs = computeMinRoundIntervalMs(hasHubs, this.#dialed.size) -
      elapsedMs;
    if (waitMs <= 0) setImmediate(() => this.#tick());
    else if (waitMs < this.intervalMs - elapsedMs) this.#schedule(waitMs);
  }

  /** Number of silent links that were replaced by a new one that worked. */
  get resets(): number {
    return this.#resets;
  }

  readTraffic(): MeshTraffic {
    let bytesSent = this.#closedBytesSent;
    let bytesReceived = this.#closedBytesReceived;
    const links = this.#listLinks();
    for (const link of links) {
      bytesSent += link.bytesSent;
      bytesReceived += link.bytesReceived;
    }
    return { bytesSent, bytesReceived, links: links.length };
  }

  /** Interval between heartbeats on a link for the current number of links, milliseconds. */
  get intervalMs(): number {
    const { heartbeatMs, heartbeatPerLinkMs = 0, membership } = this.#options;
    const { hubHeartbeatMs = heartbeatMs, idleHeartbeatMs = hubHeartbeatMs } =
      this.#options;
    if (membership.hasHubs) {
      return membership.isHub ? hubHeartbeatMs : idleHeartbeatMs;
    }
    return Math.max(heartbeatMs, heartbeatPerLinkMs * this.#dialed.size);
  }

  /** Schedules the next round with one timer. A polling interval would wake the process in vain. */
  #schedule(waitMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#tick(), waitMs);
  }

  #tick(): void {
    if (this.#stopped) return;
    const nowMs = this.#options.clock.readMonotonicMs();
    this.#recordTick();
    this.#lastRoundMs = nowMs;
    this.#isRoundDue = false;
    this.#schedule(this.intervalMs);
    const { membership } = this.#options;
    membership.expire(nowMs);
    const wanted = new Map(
      membership.pickLinkPeers().map((member) => [member.id, member]),
    );
    for (const [id, peer] of this.#dialed) {
      if (wanted.has(id)) continue;
      peer.link?.close("closed");
      peer.probe?.close("closed");
      this.#dialed.delete(id);
    }
    for (const member of wanted.values()) this.#maintainPeer(member, nowMs);
    for (const link of this.#accepted) {
      const member = membership.getMember(link.peer?.id ?? "");
      const limitMs =
        membership.getSilenceTimeoutMs(member ?? { intervalMs: 0 }) * 2;
      if (nowMs - link.lastHeardMs > limitMs) link.close("silent");
    }
    this.#options.onRound?.();
    for (const link of this.#listReadyLinks()) this.#sendHeartbeat(link);
  }

  /** Returns the time for which data that is read now may have waited, milliseconds. */
  #recordTick(): number {
    const { clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const waitedMs = this.#loopStalls.recordTick(nowMs, clock.readWallMs());
    // Data that waited in sockets is read in the next two polls of the event loop.
    if (waitedMs > 0) setTimeout(() => this.#loopStalls.clear(), CATCH_UP_MS);
    return waitedMs;
  }

  #maintainPeer(member: Member, nowMs: number): void {
    let peer = this.#dialed.get(member.id);
    if (peer === undefined) {
      peer = { link: undefined, probe: undefined, nextDialMs: 0, failures: 0 };
      this.#dialed.set(member.id, peer);
    }
    const { link } = peer;
    if (link === undefined) {
      if (nowMs >= peer.nextDialMs) peer.link = this.#dial(member, peer, nowMs);
      return;
    }
    const limitMs = this.#options.membership.getSilenceTimeoutMs(member);
    const silentMs = nowMs - link.lastHeardMs;
    if (silentMs <= limitMs) return;
    if (!link.isReady) return link.close("silent");
    if (peer.probe === undefined) {
      peer.probe = this.#dial(member, peer, nowMs);
    } else if (nowMs - peer.probe.lastHeardMs > limitMs) {
      peer.probe.close("silent");
      link.close("silent");
    }
  }

  #dial(member: Member, peer: DialState, nowMs: number): Link {
    peer.nextDialMs = nowMs +
      Math.min(MAX_DIAL_BACKOFF_MS, 100 * 2 ** peer.failures);
    peer.failures = Math.min(peer.failures + 1, 10);
    const { translate, tls } = this.#options;
    const socket = dialSocket(translate(member.mesh), tls);
    return this.#createLink(socket, {
      onReady: (link) => this.#handleDialedReady(link, member, peer),
      onClose: (link) => {
        if (peer.probe === link) peer.probe = undefined;
        if (peer.link === link) {
          peer.link = peer.probe;
          peer.probe = undefined;
        }
      },
    });
  }

  /** Handles a dialed link that is ready. A probe replaces the silent link. */
  #handleDialedReady(link: Link, member: Member, peer: DialState): void {
    if (link.peer?.id !== member.id) return link.close("badMessage");
    peer.failures = 0;
    if (peer.probe === link && peer.link !== undefined) {
      const silentLink = peer.link;
      peer.probe = undefined;
      peer.link = link;
      this.#resets++;
      silentLink.close("silent");
    }
  }

  #accept(socket: Socket): void {
    const link = this.#createLink(socket, {
      onReady: (ready) => this.#handleAcceptedReady(ready),
      onClose: (closed) => {
        this.#accepted.delete(closed);
        this.#handovers.get(closed)?.onClose();
        this.#handovers.delete(closed);
      },
    });
    this.#accepted.add(link);
  }

  #handleAcceptedReady(link: Link): void {
    if (link.peer?.purpose !== "handover") return;
    const { acceptHandover } = this.#options;
    if (acceptHandover === undefined) return link.close("closed");
    this.#accepted.delete(link);
    this.#handovers.set(link, acceptHandover(link));
  }

  #createLink(
    socket: Socket,
    hooks: { onReady: (link: Link) => void; onClose: (link: Link) => void },
  ): Link {
    const { self, sharedKey, maxFrameBytes, clock, silenceMs } = this.#options;
    return new Link({
      pongAfterMs: silenceMs / PONGS_PER_SILENCE_TIMEOUT,
      socket,
      self,
      sharedKey,
      maxFrameBytes,
      clock,
      onReady: (link) => {
        this.#recordContact(link);
        hooks.onReady(link);
        if (!link.isClosed && !this.#handovers.has(link)) {
          this.#sendHeartbeat(link);
        }
      },
      onMessage: (link, message) => this.#receive(link, message),
      onClose: (link, reason) => {
        this.#closedBytesSent += link.bytesSent;
        this.#closedBytesReceived += link.bytesReceived;
        hooks.onClose(link);
        if (!this.#stopped) this.#options.onLinkClosed(reason);
      },
    });
  }

  #receive(link: Link, message: MeshMessage): void {
    this.#recordContact(link);
    const handover = this.#handovers.get(link);
    if (handover !== undefined) return handover.onMessage(message);
    const waitedMs = this.#recordTick();
    const peer = link.peer as LinkIdentity;
    switch (message.kind) {
      case "heartbeat":
        this.#options.membership.recordProgress(peer.id, message);
        for (const listener of this.#heartbeatListeners) {
          listener(message, peer, waitedMs);
        }
        break;
      case "call":
        void this.#calls.handleCall(link, peer, message);
        break;
      case "reply":
        this.#calls.settle(message);
        break;
      default:
        break;
    }
  }

  /** Connections of another purpose say nothing about the links of the mesh. */
  #recordContact(link: Link): void {
    if (link.peer === undefined || link.peer.purpose !== undefined) return;
    this.#options.membership.recordContact(
      link.peer,
      this.#options.clock.readMonotonicMs(),
    );
  }

  #sendHeartbeat(link: Link): void {
    if (link.peer === undefined) return;
    const heartbeat = this.#options.buildHeartbeat(link, link.peer);
    if (heartbeat !== undefined) link.send(heartbeat);
  }

  #findLink(peerId: string): Link | undefined {
    const dialed = this.#dialed.get(peerId)?.link;
    if (dialed?.isReady) return dialed;
    for (const link of this.#accepted) {
      if (link.isReady && link.peer?.id === peerId) return link;
    }
    return undefined;
  }

  /** Lists one ready link for each peer. A dialed link is preferred. */
  #listReadyLinks(): Link[] {
    const byPeer = new Map<string, Link>();
    for (const link of this.#accepted) {
      if (link.isReady && link.peer) byPeer.set(link.peer.id, link);
    }
    for (const [id, peer] of this.#dialed) {
      if (peer.link?.isReady) byPeer.set(id, peer.link);
    }
    return [...byPeer.values()];
  }

  #listLinks(): Link[] {
    const links = [...this.#accepted, ...this.#handovers.keys()];
    for (const { link, probe } of this.#dialed.values()) {
      if (link) links.push(link);
      if (probe) links.push(probe);
    }
    return links;
  }
}
