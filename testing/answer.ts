/**
 * Computes the answers of the stand-in engine as a pure function of the request
 * body.
 *
 * The engine and the load tool share this module, so that a client can compare
 * an answer byte for byte with the expected one.
 */
import { createHash } from "node:crypto";

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Body of a chat completion request; other fields do not affect the answer. */
export interface ChatBody {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly "max_tokens"?: number;
  readonly stream?: boolean;
}

/** Token counts in the last chunk of a stream and in the JSON answer. */
export interface Usage {
  readonly "prompt_tokens": number;
  readonly "completion_tokens": number;
}

/** Expected answer to a request body. */
export interface Answer {
  readonly id: string;
  /** Seconds since the epoch, derived from the body. */
  readonly created: number;
  readonly model: string;
  readonly tokens: readonly string[];
  readonly text: string;
  readonly usage: Usage;
}

const CHARACTERS_PER_TOKEN = 4;
const MIN_TOKENS = 8;
const TOKEN_SPREAD = 25;
const MAX_TOKENS = 4_096;
const CREATED_BASE_S = 1_700_000_000;
const CREATED_SPREAD_S = 10_000_000;
const HASH_INCREMENT = 0x9e3779b9;
const CONSONANTS = "bdfghklmnprstvyz";
const VOWELS = "aeiouaei";

/** Estimates the number of tokens in a text from its length. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Returns the number of prompt tokens in a chat: the sum over its messages. */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
  let total = 0;
  for (const message of messages) total += countTokens(message.content);
  return total;
}

/** Hashes a 32-bit value with the finalizer of MurmurHash3. */
function mix(value: number): number {
  let bits = value | 0;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

/** Creates the token at `index`, `CHARACTERS_PER_TOKEN` characters long. */
function createToken(seed: number, index: number): string {
  const bits = mix(seed + Math.imul(index + 1, HASH_INCREMENT));
  const first = CONSONANTS.charAt(bits & 15);
  const vowel = VOWELS.charAt((bits >>> 4) & 7);
  const last = CONSONANTS.charAt((bits >>> 8) & 15);
  return `${first}${vowel}${last} `;
}

/** Computes the expected answer to `body`. */
export function getExpectedAnswer(body: ChatBody): Answer {
  const identity = [body.model, body.max_tokens ?? null, body.messages];
  const digest = createHash("sha256").update(JSON.stringify(identity)).digest();
  const seed = digest.readUInt32LE(0);
  const requestedTokens = body.max_tokens ?? MIN_TOKENS + seed % TOKEN_SPREAD;
  const count = Math.min(requestedTokens, MAX_TOKENS);
  const tokens: string[] = [];
  for (let index = 0; index < count; index++) {
    tokens.push(createToken(seed, index));
  }
  return {
    id: `chatcmpl-${digest.toString("hex").slice(0, 24)}`,
    created: CREATED_BASE_S + digest.readUInt32LE(4) % CREATED_SPREAD_S,
    model: body.model,
    tokens,
    text: tokens.join(""),
    usage: {
      prompt_tokens: countPromptTokens(body.messages),
      completion_tokens: count,
    },
  };
}

function createChunk(answer: Answer, fields: Record<string, unknown>): string {
  const { id, created, model } = answer;
  const object = "chat.completion.chunk";
  return JSON.stringify({ id, object, created, model, ...fields });
}

/** Formats the server-sent event of the token at `index`. */
export function formatTokenEvent(answer: Answer, index: number): string {
  const content = answer.tokens[index] ?? "";
  const delta = index === 0 ? { role: "assistant", content } : { content };
  const choices = [{ index: 0, delta, finish_reason: null }];
  return `id: ${index}\ndata: ${createChunk(answer, { choices })}\n\n`;
}

/** Formats the last chunk and the `[DONE]` event of a stream. */
export function formatLastEvents(answer: Answer): string {
  const choices = [{ index: 0, delta: {}, finish_reason: "stop" }];
  const chunk = createChunk(answer, { choices, usage: answer.usage });
  return `data: ${chunk}\n\ndata: [DONE]\n\n`;
}

/** Formats an answer that is not streamed, as one JSON document. */
export function formatJsonBody(answer: Answer): string {
  const { id, created, model, text, usage } = answer;
  const message = { role: "assistant", content: text };
  const choices = [{ index: 0, message, finish_reason: "stop" }];
  const object = "chat.completion";
  return JSON.stringify({ id, object, created, model, choices, usage });
}

/** Returns the expected event stream for `body`. */
export function getExpectedEventStream(body: ChatBody): string {
  const answer = getExpectedAnswer(body);
  const events = answer.tokens.map((_, index) =>
    formatTokenEvent(answer, index)
  );
  return events.join("") + formatLastEvents(answer);
}

/** Returns the expected JSON answer to `body`. */
export function getExpectedJsonBody(body: ChatBody): string {
  return formatJsonBody(getExpectedAnswer(body));
}
