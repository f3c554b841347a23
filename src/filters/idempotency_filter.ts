/**
 * Runs a non-idempotent call at most once, and gives a repeat the first answer.
 *
 * The decisions are those of `policy/idempotency.ts`; this filter carries out
 * its effects at the pool's owner, so that repeats which come in at several
 * routers meet there. The record in the key-value service decides, also while
 * two routers believe that they own the pool.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { Result } from "ts-results";
import type { RetentionLease } from "../control/retention_lease.ts";
import type { Clock } from "../control/views.ts";
import type { Log } from "../log.ts";
import { createRefusal } from "../diagnostics.ts";
import type {
  ConditionalWrite,
  Item,
  KeyValue,
  PlatformFailure,
} from "../store/key_value.ts";
import { startAttempt, stepAttempt } from "../policy/idempotency.ts";
import type {
  Attempt,
  Effect,
  Input,
  Step,
} from "../policy/idempotency_attempt.ts";
import {
  type Answer,
  createAnswer,
  getCallKey,
  getRequestDigest,
} from "../policy/idempotency_record.ts";
import {
  type AnswerHeaders,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
  refused,
} from "./exchange.ts";

/** Options of the filter. */
export interface IdempotencyFilterOptions {
  readonly keyValue: KeyValue;
  readonly retention: RetentionLease;
  /** Name of this router with its incarnation. */
  readonly router: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether a router, as named in a record, is still up. */
  isAlive(router: string): boolean;
}

/** Time past the deadline after which a call that was sent is given up. */
const GRACE_MS = 1_000;
const KEPT_HEADERS = ["content-type", "location", "x-attempt-id", "x-upstream"];

/** One call on its way through the state machine. */
interface Run {
  readonly exchange: Exchange;
  readonly key: string;
  readonly next: Next;
  reply(outcome: Outcome): void;
}

/** Guards the routes that are not idempotent. */
export class IdempotencyFilter implements Filter {
  readonly name = "idempotency";
  readonly #options: IdempotencyFilterOptions;

  constructor(options: IdempotencyFilterOptions) {
    this.#options = options;
  }

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    if (exchange.isIdempotent) return next();
    // A caller that goes away must not break off what may not be repeated.
    const leftMs = exchange.deadlineAt - this.#options.clock();
    exchange.signal = AbortSignal.timeout(
      Math.max(1, Math.ceil(leftMs + GRACE_MS)),
    );
    const service = exchange.service!.name;
    const workspace = exchange.workspace!.name;
    const key = getCallKey(exchange.idempotencyKey!, { workspace, service });
    exchange.isCallChecked = true;
    const first = startAttempt({
      id: randomUUID(),
      digest: getRequestDigest({
        method: exchange.method,
        path: exchange.target,
        body: exchange.body,
      }),
      router: this.#options.router,
      wallNow: Date.now(),
    }, { ranIfUnavailable: "unknown" });
    return new Promise((resolve) => {
      const run = { exchange, key, next, reply: resolve };
      void this.#drive(run, first).catch((cause) => {
        this.#options.log.error("A call failed.", {
          requestId: exchange.requestId,
          cause: String(cause),
        });
        const detail = "The router failed on this call.";
        resolve(refused(createRefusal("internal", detail, { ran: "unknown" })));
      });
    });
  }

  /** Carries out effects until none has an answer. */
  async #drive(run: Run, first: Step): Promise<void> {
    let step = first;
    while (true) {
      const input = await this.#perform(run, step);
      if (input === undefined) return;
      step = stepAttempt(step.attempt, input, {
        wallNow: Date.now(),
        isAlive: (router) => this.#options.isAlive(router),
      });
    }
  }

  async #perform(run: Run, step: Step): Promise<Input | undefined> {
    let input: Input | undefined;
    for (const effect of step.effects) {
      input = await this.#performOne(run, effect, step.attempt) ?? input;
    }
    return input;
  }

  async #performOne(
    run: Run,
    effect: Effect,
    attempt: Attempt,
  ): Promise<Input | undefined> {
    const { keyValue } = this.#options;
    const { key } = run;
    switch (effect.kind) {
      case "create":
        return await this.#create(key, effect.value);
      case "read":
        return toRead(await keyValue.get(key));
      case "replace":
        return await this.#replace(key, effect);
      case "remove":
        return toWritten(await keyValue.remove(key, effect.revision));
      case "wait":
        await sleep(effect.ms);
        return { kind: "elapsed" };
      case "run":
        return await this.#run(run, attempt);
      case "replay":
        this.#log(run, "Replayed the answer of a call.", attempt);
        run.reply(toOutcome(effect.answer));
        return undefined;
      case "refuse":
        this.#log(run, "Refused a call.", attempt);
        run.reply(refused(effect.refusal));
        return undefined;
    }
  }

  async #create(key: string, value: string): Promise<Input> {
    const lease = await this.#options.retention.get();
    // Without a lease nothing was written under the key.
    if (lease.err) return { kind: "failed", failure: "unavailable" };
    const created = await this.#options.keyValue.create(key, value, {
      lease: lease.val,
    });
    return toWritten(created);
  }

  async #replace(
    key: string,
    effect: Effect & { kind: "replace" },
  ): Promise<Input> {
    const lease = await this.#options.retention.get();
    if (lease.err) return { kind: "failed", failure: "unavailable" };
    const { value, revision } = effect;
    return toWritten(
      await this.#options.keyValue.replace(key, value, {
        revision,
        lease: lease.val,
      }),
    );
  }

  async #run(run: Run, attempt: Attempt): Promise<Input> {
    this.#log(run, "Runs a call.", attempt);
    const outcome = await run.next();
    if (outcome.kind === "refused") {
      if (outcome.refusal.ran !== "no") return { kind: "unclear" };
      // The refusal of the last filter says more than one made here.
      run.reply(outcome);
      return { kind: "not-run", code: outcome.refusal.code };
    }
    const whole = await tryCollect(outcome);
    if (whole === undefined) return { kind: "unclear" };
    run.reply(whole);
    return { kind: "answered", answer: toAnswer(whole) };
  }

  #log({ exchange, key }: Run, sentence: string, attempt: Attempt): void {
    this.#options.log.info(sentence, {
      requestId: exchange.requestId,
      key,
      attempt: attempt.call.id,
      phase: attempt.phase,
    });
  }
}

type WholeOutcome = Outcome & { kind: "whole" };

function toWritten(
  result: Result<ConditionalWrite, PlatformFailure>,
): Input {
  if (result.err) return { kind: "failed", failure: result.val.kind };
  return result.val;
}

function toRead(
  result: Result<Item | undefined, PlatformFailure>,
): Input {
  if (result.err) return { kind: "failed", failure: result.val.kind };
  return { kind: "read", item: result.val };
}

async function tryCollect(
  outcome: Outcome & { kind: "whole" | "stream" },
): Promise<WholeOutcome | undefined> {
  if (outcome.kind === "whole") return outcome;
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of outcome.body) chunks.push(chunk);
  } catch {
    return undefined;
  }
  const body = Buffer.concat(chunks);
  const { status, headers } = outcome;
  return { kind: "whole", status, headers: withLength(headers, body), body };
}

function withLength(headers: AnswerHeaders, body: Buffer): AnswerHeaders {
  return { ...headers, "content-length": String(body.length) };
}

function toAnswer({ status, headers, body }: WholeOutcome): Answer {
  const kept: Record<string, string> = {};
  for (const name of KEPT_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") kept[name] = value;
  }
  return createAnswer(status, { headers: kept, body });
}

function toOutcome({ status, headers, body }: Answer): Outcome {
  const bytes = Buffer.from(body ?? "", "base64");
  return {
    kind: "whole",
    status,
    headers: withLength(headers, bytes),
    body: bytes,
  };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs).unref();
  });
}
