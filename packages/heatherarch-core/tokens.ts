/**
 * Estimates of token counts, used where an engine has not reported its own.
 *
 * @module
 */

const CHARACTERS_PER_TOKEN = 4;

/** Estimated number of prompt tokens in `text`. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
