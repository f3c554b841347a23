/**
 * Order of departure of the admission queue: start-time fair queueing.
 *
 * A waiter starts at the larger of the virtual time of its arrival and the
 * finish of its workspace's previous one, and its finish is its cost over the
 * workspace's weight later. The smallest start leaves first, so a workspace
 * that surges delays itself only. Deficit round robin was ruled out because
 * its waits are harder to estimate, and refusals rest on an estimate.
 *
 * Waiters are one array in the order of departure. Queues are a few hundred
 * long, so a scan costs microseconds.
 */

/** A request that waits; times are in milliseconds. */
export interface Waiter {
  readonly id: string;
  readonly workspace: string;
  /** Share of the workspace relative to the others. */
  readonly weight: number;
  readonly enqueuedAt: number;
  readonly deadline: number;
  readonly promptTokens: number;
}

/** A waiter with its place in the order. */
export interface Entry {
  readonly waiter: Waiter;
  readonly cost: number;
  /** Virtual time of the arrival. */
  readonly arrival: number;
  readonly sequence: number;
  /** Virtual time from which it may leave. */
  start: number;
}

interface Share {
  weight: number;
  /** Virtual finish of the last waiter that left with a place. */
  servedFinish: number;
  /** Virtual finish of the last waiter, queued or served. */
  finish: number;
  queued: number;
}

/** Prompt tokens that cost as much as a request itself. */
const TOKENS_PER_UNIT = 2_048;

function compareEntries(left: Entry, right: Entry): number {
  return left.start - right.start || left.sequence - right.sequence;
}

function getCost({ promptTokens }: Waiter): number {
  return 1 + Math.max(0, promptTokens) / TOKENS_PER_UNIT;
}

/** Waiters in a fair order of departure; see the module. */
export class FairOrder {
  #entries: Entry[] = [];
  readonly #shares = new Map<string, Share>();
  #virtualTime = 0;
  #sequence = 0;

  /** Number of waiters. */
  get length(): number {
    return this.#entries.length;
  }

  /** Adds a waiter at the place that its workspace is due. */
  insert(waiter: Waiter): void {
    const share = this.#getShare(waiter);
    const cost = getCost(waiter);
    const arrival = this.#virtualTime;
    const start = Math.max(arrival, share.finish);
    const sequence = this.#sequence++;
    share.finish = start + cost / share.weight;
    share.queued++;
    const entry = { waiter, cost, arrival, sequence, start };
    const behind = this.#entries.findIndex((each) =>
      compareEntries(entry, each) < 0
    );
    const index = behind < 0 ? this.#entries.length : behind;
    this.#entries.splice(index, 0, entry);
  }

  /** Finds the first waiter in order that satisfies `test`. */
  find(test: (waiter: Waiter) => boolean): Entry | undefined {
    return this.#entries.find(({ waiter }) => test(waiter));
  }

  /** Finds every waiter that satisfies `test`, in order. */
  filter(test: (waiter: Waiter) => boolean): Entry[] {
    return this.#entries.filter(({ waiter }) => test(waiter));
  }

  /** Takes a waiter out that got its place; its workspace pays for it. */
  serve(entry: Entry): void {
    const share = this.#shares.get(entry.waiter.workspace)!;
    const start = Math.max(entry.arrival, share.servedFinish);
    share.servedFinish = start + entry.cost / share.weight;
    this.#virtualTime = Math.max(this.#virtualTime, start);
    this.drop([entry]);
    this.#forgetIdle();
  }

  /** Takes waiters out that get no place; this costs a workspace nothing. */
  drop(entries: readonly Entry[]): void {
    const dropped = new Set(entries);
    this.#entries = this.#entries.filter((entry) => !dropped.has(entry));
    for (const { waiter } of dropped) {
      this.#shares.get(waiter.workspace)!.queued--;
    }
    const workspaces = new Set(
      [...dropped].map(({ waiter }) => waiter.workspace),
    );
    for (const workspace of workspaces) this.#retag(workspace);
    this.#entries.sort(compareEntries);
    if (this.#entries.length === 0) this.#reset();
  }

  /** Computes the tags of a workspace again, so that a gap costs it nothing. */
  #retag(workspace: string): void {
    const share = this.#shares.get(workspace)!;
    let finish = share.servedFinish;
    const own = this.#entries
      .filter((entry) => entry.waiter.workspace === workspace)
      .sort((left, right) => left.sequence - right.sequence);
    for (const entry of own) {
      entry.start = Math.max(entry.arrival, finish);
      finish = entry.start + entry.cost / share.weight;
    }
    share.finish = finish;
  }

  /** Nobody is owed anything once the queue is empty. */
  #reset(): void {
    this.#shares.clear();
    this.#virtualTime = 0;
  }

  /** Drops the shares that a new one would equal. */
  #forgetIdle(): void {
    for (const [workspace, { queued, finish }] of this.#shares) {
      if (queued > 0 || finish > this.#virtualTime) continue;
      this.#shares.delete(workspace);
    }
  }

  /** Cost of the waiters that would leave before a new one. */
  getCostAhead(workspace: string): number {
    const start = Math.max(
      this.#virtualTime,
      this.#shares.get(workspace)?.finish ?? 0,
    );
    let ahead = 0;
    for (const entry of this.#entries) {
      if (entry.start > start) break;
      ahead += entry.cost;
    }
    return ahead;
  }

  /**
   * Finds the newest waiter of the workspace with the most queued for its
   * weight, if that stays more than `waiter` and those queued of its workspace.
   */
  findShedFor(waiter: Waiter): Entry | undefined {
    const queued = this.#shares.get(waiter.workspace)?.queued ?? 0;
    let heaviest: string | undefined;
    let most = (queued + 1) / waiter.weight;
    for (const [workspace, share] of this.#shares) {
      const relative = share.queued / share.weight;
      if (workspace === waiter.workspace || relative <= most) continue;
      [heaviest, most] = [workspace, relative];
    }
    return this.#entries
      .filter((entry) => entry.waiter.workspace === heaviest)
      .reduce<Entry | undefined>(
        (last, entry) =>
          last === undefined || entry.sequence > last.sequence ? entry : last,
        undefined,
      );
  }

  #getShare({ workspace, weight }: Waiter): Share {
    const share = this.#shares.get(workspace);
    if (share !== undefined) {
      share.weight = weight;
      return share;
    }
    const created = { weight, servedFinish: 0, finish: 0, queued: 0 };
    this.#shares.set(workspace, created);
    return created;
  }
}
