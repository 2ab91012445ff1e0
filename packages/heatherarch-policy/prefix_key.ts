/**
 * Prefix key, which prompts with the same beginning share.
 *
 * @module
 */
import { hashText } from "heatherarch-core";

/** Number of characters at the beginning of a prompt that determine its key. */
const PREFIX_CHARACTERS = 512;

/** Computes the key of a prompt's prefix. */
export function computePrefixKey(prompt: string): string {
  return hashText(prompt.slice(0, PREFIX_CHARACTERS)).toString(36);
}
