/**
 * The key under which prompts that begin alike meet.
 *
 * @module
 */
import { hashText } from "heatherarch-core";

const PREFIX_CHARACTERS = 512;

/** Key of a prompt's beginning. */
export function computePrefixKey(prompt: string): string {
  return hashText(prompt.slice(0, PREFIX_CHARACTERS)).toString(36);
}
