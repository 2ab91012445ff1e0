/**
 * Deterministic text generation for the engine stand-ins. Each token is a function of all text
 * before it, so a response can be verified from its prompt, and continued on another engine.
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

/** Hashes a text into the state that determines its next token. */
export function computeTextState(text: string): number {
  return hashText(text);
}

/** Returns the token that follows a text with the given state. */
export function computeNextToken(state: number): string {
  const mixed = mixHash(state);
  const first = SYLLABLES[mixed % SYLLABLES.length];
  const second = SYLLABLES[(mixed >>> 8) % SYLLABLES.length];
  return `${first}${second} `;
}

/** Returns the state after `token` is appended to the text. */
export function extendTextState(state: number, token: string): number {
  return hashText(token, state);
}

/** Generates the first `tokenCount` tokens that follow `prompt`. */
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
