/**
 * Returning chats: each turn resends the whole history with the assistant's
 * answer appended, and asks one thing more.
 */
import {
  type ChatBody,
  type ChatMessage,
  countPromptTokens,
} from "../../testing/answer.ts";
import { Random, type Range } from "./random.ts";

/** Options of the chats. */
export interface ChatsOptions {
  /** Keys of the workspaces; the first ones are the large ones. */
  keys: readonly string[];
  seed?: number;
  chats?: number;
  model?: string;
  largeWorkspaces?: number;
  /** Share of the chats that belong to the large workspaces. */
  largeShare?: number;
  /** Share of the turns that ask for a stream. */
  streamShare?: number;
  firstTokens?: Range;
  turnTokens?: Range;
  answerTokens?: Range;
  /** A chat with a longer history ends and a new one takes its place. */
  maxHistoryTokens?: number;
  /** Shortest pause between an answer and the chat's next turn. */
  minPauseMs?: number;
}

/** One turn of a chat, ready to be sent. */
export interface Turn {
  readonly chatId: string;
  readonly key: string;
  readonly body: ChatBody;
  readonly promptTokens: number;
  /** Tokens of the longest prefix served before; 0 for a chat's first turn. */
  readonly servedTokens: number;
  /** The chat's place. */
  readonly slot: number;
}

interface Chat {
  readonly id: string;
  readonly key: string;
  readonly random: Random;
  messages: ChatMessage[];
  servedTokens: number;
  busy: boolean;
  notBefore: number;
  /** Turn that was refused and is sent again. */
  pending: Turn | undefined;
}

const PICK_TRIES = 16;
const DEFAULTS = {
  seed: 1,
  chats: 200,
  model: "assistant",
  largeWorkspaces: 2,
  largeShare: 0.7,
  streamShare: 0.5,
  firstTokens: { min: 200, max: 800 },
  turnTokens: { min: 10, max: 60 },
  answerTokens: { min: 8, max: 48 },
  maxHistoryTokens: 4_000,
  minPauseMs: 200,
} satisfies Partial<ChatsOptions>;

/** All chats of one run. */
export class Chats {
  readonly #options: Required<ChatsOptions>;
  readonly #random: Random;
  readonly #chats: Chat[] = [];
  #created = 0;

  constructor(options: ChatsOptions) {
    this.#options = { ...DEFAULTS, ...options };
    this.#random = new Random(this.#options.seed);
    for (let count = 0; count < this.#options.chats; count++) {
      this.#chats.push(this.#createChat());
    }
  }

  /** The next turn of an idle chat; undefined when none was found. */
  nextTurn(now: number): Turn | undefined {
    for (let tries = 0; tries < PICK_TRIES; tries++) {
      const range = { min: 0, max: this.#chats.length - 1 };
      const slot = this.#random.nextInteger(range);
      const chat = this.#chats[slot]!;
      if (chat.busy || now < chat.notBefore) continue;
      chat.busy = true;
      return chat.pending ?? this.#createTurn(chat, slot);
    }
    return undefined;
  }

  /** Takes the whole answer of a turn into the chat's history. */
  completeTurn(turn: Turn, { text, now }: { text: string; now: number }): void {
    const chat = this.#chats[turn.slot]!;
    const answer = { role: "assistant", content: text };
    chat.messages = [...turn.body.messages, answer];
    chat.servedTokens = countPromptTokens(chat.messages);
    chat.pending = undefined;
    chat.busy = false;
    chat.notBefore = now + this.#options.minPauseMs;
    if (chat.servedTokens <= this.#options.maxHistoryTokens) return;
    this.#chats[turn.slot] = this.#createChat();
  }

  /** Puts a turn back that got no whole answer; it is sent again later. */
  returnTurn(turn: Turn, { notBefore }: { notBefore: number }): void {
    const chat = this.#chats[turn.slot]!;
    chat.pending = turn;
    chat.busy = false;
    chat.notBefore = notBefore;
  }

  #createChat(): Chat {
    const { keys, seed, firstTokens } = this.#options;
    const number = this.#created++;
    // Each chat has a sequence of its own, whatever the order of its turns.
    const random = new Random(Math.imul(seed, 1_000_003) + number);
    const tokens = random.nextInteger(firstTokens);
    return {
      id: `chat-${seed}-${number}`,
      key: this.#pickKey(keys),
      random,
      messages: [{ role: "system", content: random.nextText(tokens) }],
      servedTokens: 0,
      busy: false,
      notBefore: 0,
      pending: undefined,
    };
  }

  #pickKey(keys: readonly string[]): string {
    const { largeWorkspaces, largeShare } = this.#options;
    const large = keys.slice(0, largeWorkspaces);
    const small = keys.slice(largeWorkspaces);
    const isLarge = small.length === 0 || this.#random.nextBoolean(largeShare);
    return this.#random.pick(isLarge && large.length > 0 ? large : small);
  }

  #createTurn(chat: Chat, slot: number): Turn {
    const { model, turnTokens, answerTokens, streamShare } = this.#options;
    const { random } = chat;
    const question = random.nextText(random.nextInteger(turnTokens));
    const messages = [...chat.messages, { role: "user", content: question }];
    const body: ChatBody = {
      model,
      messages,
      "max_tokens": random.nextInteger(answerTokens),
      stream: random.nextBoolean(streamShare),
    };
    return {
      chatId: chat.id,
      key: chat.key,
      body,
      promptTokens: countPromptTokens(messages),
      servedTokens: chat.servedTokens,
      slot,
    };
  }
}
