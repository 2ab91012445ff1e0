/**
 * Tells when a response has ended, or its connection has.
 *
 * @module
 */
import type Koa from "koa";

/** Calls `listener` once, when the response or its connection has ended. */
export function registerResponseEnd(
  { req: { socket }, res }: Pick<Koa.Context, "req" | "res">,
  listener: () => void,
): void {
  let hasEnded = false;
  const end = (): void => {
    // An event that is being emitted reaches listeners that were removed meanwhile.
    if (hasEnded) return;
    hasEnded = true;
    res.off("close", end);
    socket.off("close", end);
    listener();
  };
  res.once("close", end);
  // Node.js tells nothing of the responses behind the first one of a connection that ends.
  socket.once("close", end);
}
