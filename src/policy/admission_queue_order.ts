/**
 * Service order of the admission queue: start-time fair queueing.
 *
 * The start tag of a waiter is the larger of the virtual time of its arrival
 * and the finish tag of the previous waiter of its workspace. Its finish tag is
 * its start tag plus its cost divided by the workspace's weight. The waiter
 * with the smallest start tag is served first, so a burst from one workspace
 * delays only that workspace. Deficit round robin is not used because its waits
 * are harder to estimate, and refusals depend on an estimate.
 *
 * Waiters are kept in one array in service order. Queues hold a few hundred
 * waiters, so a scan takes microseconds.
 */

/** A request that waits for admission; times are in milliseconds. */
export interface Waiter {
  readonly id: string;
  readonly workspace: string;
  /** Share of the workspace relative to that of other workspaces. */
  readonly weight: number;
  readonly enqueuedAt: number;
  readonly deadline: number;
  readonly promptTokens: number;
  /** 0, the default, is served first. */
  readonly priority?: number;
}

/** A waiter with its position in the service order. */
export interface Entry {
  readonly waiter: Waiter;
  readonly cost: number;
  /** Virtual time at which the waiter arrived. */
  readonly arrival: number;
  readonly sequence: number;
  /** Start tag, in virtual time. */
  start: number;
}

interface Share {
  weight: number;
  /** Finish tag of the last waiter that was served. */
  servedFinish: number;
  /** Finish tag of the last waiter, queued or served. */
  finish: number;
  queued: number;
}

/** Prompt tokens that add as much cost as one request without a prompt. */
const TOKENS_PER_UNIT = 2_048;

function compareEntries(left: Entry, right: Entry): number {
  return left.start - right.start || left.sequence - right.sequence;
}

function getCost({ promptTokens }: Waiter): number {
  return 1 + Math.max(0, promptTokens) / TOKENS_PER_UNIT;
}

/** Waiters in start-time fair queueing order. */
export class FairQueueOrder {
  #entries: Entry[] = [];
  readonly #shares = new Map<string, Share>();
  #virtualTime = 0;
  #sequence = 0;

  /** Number of waiters. */
  get length(): number {
    return this.#entries.length;
  }

  /** Adds a waiter at the position that its start tag determines. */
  insert(waiter: Waiter): void {
    const share = this.#getShare(waiter);
    const cost = getCost(waiter);
    const arrival = this.#virtualTime;
    const start = Math.max(arrival, share.finish);
    const sequence = this.#sequence++;
    share.finish = start + cost / share.weight;
    share.queued++;
    const entry = { waiter, cost, arrival, sequence, start };
    const nextIndex = this.#entries.findIndex((each) =>
      compareEntries(entry, each) < 0
    );
    const index = nextIndex < 0 ? this.#entries.length : nextIndex;
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

  /** Removes a served waiter and charges its cost to its workspace. */
  serve(entry: Entry): void {
    const share = this.#shares.get(entry.waiter.workspace)!;
    const start = Math.max(entry.arrival, share.servedFinish);
    share.servedFinish = start + entry.cost / share.weight;
    this.#virtualTime = Math.max(this.#virtualTime, start);
    this.drop([entry]);
    this.#deleteIdleShares();
  }

  /** Removes waiters that were not served, at no cost to their workspaces. */
  drop(entries: readonly Entry[]): void {
    const dropped = new Set(entries);
    this.#entries = this.#entries.filter((entry) => !dropped.has(entry));
    for (const { waiter } of dropped) {
      this.#shares.get(waiter.workspace)!.queued--;
    }
    const workspaces = new Set(
      [...dropped].map(({ waiter }) => waiter.workspace),
    );
    for (const workspace of workspaces) this.#recomputeStarts(workspace);
    this.#entries.sort(compareEntries);
    if (this.#entries.length === 0) this.#reset();
  }

  /**
   * Recomputes the tags of a workspace's waiters, so that removed waiters don't
   * delay the remaining ones.
   */
  #recomputeStarts(workspace: string): void {
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

  /** Clears all shares; an empty queue carries over no credit or debt. */
  #reset(): void {
    this.#shares.clear();
    this.#virtualTime = 0;
  }

  /** Deletes idle shares that equal a newly created share. */
  #deleteIdleShares(): void {
    for (const [workspace, { queued, finish }] of this.#shares) {
      if (queued > 0 || finish > this.#virtualTime) continue;
      this.#shares.delete(workspace);
    }
  }

  /** Total cost of all waiters. */
  get totalCost(): number {
    return this.#entries.reduce((sum, { cost }) => sum + cost, 0);
  }

  /** Gets the total cost of the waiters served before a new one. */
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
   * Finds the newest waiter of the workspace with the most queued waiters per
   * weight. Given `waiter`, returns undefined unless that ratio exceeds the one
   * of its workspace, with `waiter` counted as queued.
   */
  findEntryToShed(waiter?: Waiter): Entry | undefined {
    let shedWorkspace: string | undefined;
    let maxQueuedPerWeight = 0;
    if (waiter !== undefined) {
      const queued = this.#shares.get(waiter.workspace)?.queued ?? 0;
      maxQueuedPerWeight = (queued + 1) / waiter.weight;
    }
    for (const [workspace, share] of this.#shares) {
      const queuedPerWeight = share.queued / share.weight;
      if (
        workspace === waiter?.workspace || queuedPerWeight <= maxQueuedPerWeight
      ) continue;
      [shedWorkspace, maxQueuedPerWeight] = [workspace, queuedPerWeight];
    }
    return this.#entries
      .filter((entry) => entry.waiter.workspace === shedWorkspace)
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
