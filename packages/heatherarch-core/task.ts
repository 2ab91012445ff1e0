/**
 * Tasks: each task owns its state and its sockets, and other code reaches it only by messages.
 *
 * @module
 */

/** Called with the value that a message handler threw. */
export type TaskErrorListener = (task: string, error: unknown) => void;

/** A task that handles its messages one at a time, in the order in which they were posted. */
export abstract class Task<Message> {
  readonly taskName: string;
  readonly #queue: Message[] = [];
  readonly #onError: TaskErrorListener;
  #running = false;

  constructor(taskName: string, onError: TaskErrorListener) {
    this.taskName = taskName;
    this.#onError = onError;
  }

  /** Adds a message to the queue. */
  post(message: Message): void {
    this.#queue.push(message);
    if (!this.#running) void this.#drain();
  }

  /** Handles one message. The next one waits until the returned promise settles. */
  protected abstract handle(message: Message): void | Promise<void>;

  async #drain(): Promise<void> {
    this.#running = true;
    while (this.#queue.length > 0) {
      const message = this.#queue.shift() as Message;
      try {
        const pending = this.handle(message);
        if (pending) await pending;
      } catch (error) {
        this.#onError(this.taskName, error);
      }
    }
    this.#running = false;
  }
}
