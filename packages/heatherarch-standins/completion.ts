/**
 * The text that the engine stand-ins generate: each token depends on all the text before it,
 * so an answer can be checked from its prompt, and continued on another engine.
 *
 * @module
 */
import { hashText, mixHash } from "heatherarch-core";

const SYLLABLES = [
  "ba",
  "ko",
  "li",
  "mu",
  "ne",
  "po",
  "ri",
  "sa",
  "te",
  "vu",
  "wa",
  "yo",
];

/** State of a text after which the next token is fixed. */
export function computeTextState(text: string): number {
  return hashText(text);
}

/** The token that follows a text with the given state. */
export function computeNextToken(state: number): string {
  const mixed = mixHash(state);
  const first = SYLLABLES[mixed % SYLLABLES.length];
  const second = SYLLABLES[(mixed >>> 8) % SYLLABLES.length];
  return `${first}${second} `;
}

/** The state after `token` has been added. */
export function extendTextState(state: number, token: string): number {
  return hashText(token, state);
}

/** The first `tokens` tokens that follow `prompt`. */
export function computeCompletion(prompt: string, tokenCount: number): string {
  let state = computeTextState(prompt);
  let text = "";
  for (let i = 0; i < tokenCount; i++) {
    const token = computeNextToken(state);
    text += token;
    state = extendTextState(state, token);
  }
  return text;
}
