/**
 * Runs a non-idempotent call at most once and answers its repeats with the
 * stored response.
 *
 * The state machine in `policy/idempotency.ts` decides; this filter carries out
 * its effects. It runs at the pool's owner, so that repeats that arrive at
 * several routers are handled by one. The record in the key-value service is
 * authoritative, also while two routers believe that they own the pool.
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
  createStoredResponse,
  getCallKey,
  getRequestDigest,
  type StoredResponse,
} from "../policy/idempotency_record.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
  type ResponseHeaders,
} from "./exchange.ts";

/** Options of `IdempotencyFilter`. */
export interface IdempotencyFilterOptions {
  readonly keyValue: KeyValue;
  readonly retention: RetentionLease;
  /** Name of this router with its incarnation, as written to records. */
  readonly router: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether a router, named as in a record, is still running. */
  isAlive(router: string): boolean;
}

/** Time after the deadline at which a call that was sent is aborted. */
const DEADLINE_GRACE_MS = 1_000;
const STORED_HEADERS = [
  "content-type",
  "location",
  "x-attempt-id",
  "x-upstream",
];

/** A call that the state machine is processing. */
interface CallContext {
  readonly exchange: Exchange;
  readonly key: string;
  readonly next: Next;
  reply(outcome: Outcome): void;
}

/** Enforces at-most-once execution on routes that are not idempotent. */
export class IdempotencyFilter implements Filter {
  readonly name = "idempotency";
  readonly #options: IdempotencyFilterOptions;

  constructor(options: IdempotencyFilterOptions) {
    this.#options = options;
  }

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    if (exchange.isIdempotent) return next();
    // A disconnected caller must not abort a call that can't be repeated, so the
    // signal depends on the deadline only.
    const remainingMs = exchange.deadlineAt - this.#options.clock();
    exchange.signal = AbortSignal.timeout(
      Math.max(1, Math.ceil(remainingMs + DEADLINE_GRACE_MS)),
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
      const callContext = { exchange, key, next, reply: resolve };
      void this.#processSteps(callContext, first).catch((cause) => {
        this.#options.log.error("A call failed.", {
          requestId: exchange.requestId,
          cause: String(cause),
        });
        const detail = "The router failed on this call.";
        resolve(
          createRefusedOutcome(
            createRefusal("internal", detail, { ran: "unknown" }),
          ),
        );
      });
    });
  }

  /** Steps the state machine until its effects yield no further input. */
  async #processSteps(
    callContext: CallContext,
    first: Step,
  ): Promise<void> {
    let step = first;
    while (true) {
      const input = await this.#performEffects(callContext, step);
      if (input === undefined) return;
      step = stepAttempt(step.attempt, input, {
        wallNow: Date.now(),
        isAlive: (router) => this.#options.isAlive(router),
      });
    }
  }

  async #performEffects(
    callContext: CallContext,
    step: Step,
  ): Promise<Input | undefined> {
    let input: Input | undefined;
    for (const effect of step.effects) {
      input = await this.#performEffect(callContext, effect, step.attempt) ??
        input;
    }
    return input;
  }

  async #performEffect(
    callContext: CallContext,
    effect: Effect,
    attempt: Attempt,
  ): Promise<Input | undefined> {
    const { keyValue } = this.#options;
    const { key } = callContext;
    switch (effect.kind) {
      case "create":
        return await this.#createRecord(key, effect.value);
      case "read":
        return toReadInput(await keyValue.get(key));
      case "replace":
        return await this.#replaceRecord(key, effect);
      case "remove":
        return toWriteInput(await keyValue.remove(key, effect.revision));
      case "wait":
        await sleep(effect.ms);
        return { kind: "elapsed" };
      case "run":
        return await this.#runCall(callContext, attempt);
      case "replay":
        this.#logCall(
          callContext,
          "Replayed the stored response of a call.",
          attempt,
        );
        callContext.reply(toOutcome(effect.answer));
        return undefined;
      case "refuse":
        this.#logCall(callContext, "Refused a call.", attempt);
        callContext.reply(createRefusedOutcome(effect.refusal));
        return undefined;
    }
  }

  async #createRecord(key: string, value: string): Promise<Input> {
    const lease = await this.#options.retention.get();
    // No lease was granted, so nothing was written under the key.
    if (lease.err) return { kind: "failed", failure: "unavailable" };
    const created = await this.#options.keyValue.create(key, value, {
      lease: lease.val,
    });
    return toWriteInput(created);
  }

  async #replaceRecord(
    key: string,
    effect: Effect & { kind: "replace" },
  ): Promise<Input> {
    const lease = await this.#options.retention.get();
    if (lease.err) return { kind: "failed", failure: "unavailable" };
    const { value, revision } = effect;
    return toWriteInput(
      await this.#options.keyValue.replace(key, value, {
        revision,
        lease: lease.val,
      }),
    );
  }

  async #runCall(callContext: CallContext, attempt: Attempt): Promise<Input> {
    this.#logCall(callContext, "Running a call.", attempt);
    const outcome = await callContext.next();
    if (outcome.kind === "refused") {
      if (outcome.refusal.ran !== "no") return { kind: "unclear" };
      // The last filter's refusal is more specific than one created here.
      callContext.reply(outcome);
      return { kind: "not-run", code: outcome.refusal.code };
    }
    const whole = await tryReadWhole(outcome);
    if (whole === undefined) return { kind: "unclear" };
    callContext.reply(whole);
    return { kind: "answered", answer: toStoredResponse(whole) };
  }

  #logCall(
    { exchange, key }: CallContext,
    text: string,
    attempt: Attempt,
  ): void {
    this.#options.log.info(text, {
      requestId: exchange.requestId,
      key,
      attempt: attempt.call.id,
      phase: attempt.phase,
    });
  }
}

type WholeOutcome = Outcome & { kind: "whole" };

function toWriteInput(
  result: Result<ConditionalWrite, PlatformFailure>,
): Input {
  if (result.err) return { kind: "failed", failure: result.val.kind };
  return result.val;
}

function toReadInput(
  result: Result<Item | undefined, PlatformFailure>,
): Input {
  if (result.err) return { kind: "failed", failure: result.val.kind };
  return { kind: "read", item: result.val };
}

async function tryReadWhole(
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
  return {
    kind: "whole",
    status,
    headers: withContentLength(headers, body),
    body,
  };
}

function withContentLength(
  headers: ResponseHeaders,
  body: Buffer,
): ResponseHeaders {
  return { ...headers, "content-length": String(body.length) };
}

function toStoredResponse(
  { status, headers, body }: WholeOutcome,
): StoredResponse {
  const storedHeaders: Record<string, string> = {};
  for (const name of STORED_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") storedHeaders[name] = value;
  }
  return createStoredResponse(status, { headers: storedHeaders, body });
}

function toOutcome({ status, headers, body }: StoredResponse): Outcome {
  const bytes = Buffer.from(body ?? "", "base64");
  return {
    kind: "whole",
    status,
    headers: withContentLength(headers, bytes),
    body: bytes,
  };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs).unref();
  });
}
