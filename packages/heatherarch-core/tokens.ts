/**
 * Estimates of token counts for requests whose count the engine has not reported.
 *
 * @module
 */

const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of prompt tokens in `text`. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
