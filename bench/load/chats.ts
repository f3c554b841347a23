/**
 * Returning chats: each turn sends the whole history again, with the
 * assistant's last response and a new question appended.
 */
import {
  type ChatBody,
  type ChatMessage,
  countPromptTokens,
} from "../../testing/answer.ts";
import { Random, type Range } from "./random.ts";

/** Options of the simulated chats. */
export interface ChatsOptions {
  /** Keys of the workspaces; the first ones are the large ones. */
  keys: readonly string[];
  seed?: number;
  chats?: number;
  model?: string;
  largeWorkspaces?: number;
  /** Share of the chats that belong to the large workspaces. */
  largeShare?: number;
  /** Share of the turns that request a streamed response. */
  streamShare?: number;
  firstTokens?: Range;
  turnTokens?: Range;
  answerTokens?: Range;
  /** A chat whose history grows longer ends and is replaced by a new one. */
  maxHistoryTokens?: number;
  /** Minimum pause between a response and the chat's next turn, in ms. */
  minPauseMs?: number;
}

/** One request of a chat. */
export interface Turn {
  readonly chatId: string;
  readonly key: string;
  readonly body: ChatBody;
  readonly promptTokens: number;
  /** Tokens of the history served before; 0 for a chat's first turn. */
  readonly servedTokens: number;
  /** Index of the chat among all chats. */
  readonly slot: number;
}

interface Chat {
  readonly id: string;
  readonly key: string;
  readonly random: Random;
  messages: ChatMessage[];
  servedTokens: number;
  isBusy: boolean;
  notBefore: number;
  /** Turn without a complete response, to be sent again. */
  pending: Turn | undefined;
}

const MAX_PICK_ATTEMPTS = 16;
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

/** The chats of one run. */
export class Chats {
  readonly #options: Required<ChatsOptions>;
  readonly #random: Random;
  readonly #chats: Chat[] = [];
  #createdCount = 0;

  constructor(options: ChatsOptions) {
    this.#options = { ...DEFAULTS, ...options };
    this.#random = new Random(this.#options.seed);
    for (let count = 0; count < this.#options.chats; count++) {
      this.#chats.push(this.#createChat());
    }
  }

  /** Returns the next turn of an idle chat, or undefined if none was found. */
  nextTurn(now: number): Turn | undefined {
    for (let attempt = 0; attempt < MAX_PICK_ATTEMPTS; attempt++) {
      const range = { min: 0, max: this.#chats.length - 1 };
      const slot = this.#random.nextInteger(range);
      const chat = this.#chats[slot]!;
      if (chat.isBusy || now < chat.notBefore) continue;
      chat.isBusy = true;
      return chat.pending ?? this.#createTurn(chat, slot);
    }
    return undefined;
  }

  /** Appends the complete response of a turn to the chat's history. */
  completeTurn(turn: Turn, { text, now }: { text: string; now: number }): void {
    const chat = this.#chats[turn.slot]!;
    const answer = { role: "assistant", content: text };
    chat.messages = [...turn.body.messages, answer];
    chat.servedTokens = countPromptTokens(chat.messages);
    chat.pending = undefined;
    chat.isBusy = false;
    chat.notBefore = now + this.#options.minPauseMs;
    if (chat.servedTokens <= this.#options.maxHistoryTokens) return;
    this.#chats[turn.slot] = this.#createChat();
  }

  /** Keeps a turn without a complete response, to send it again later. */
  requeueTurn(turn: Turn, { notBefore }: { notBefore: number }): void {
    const chat = this.#chats[turn.slot]!;
    chat.pending = turn;
    chat.isBusy = false;
    chat.notBefore = notBefore;
  }

  #createChat(): Chat {
    const { keys, seed, firstTokens } = this.#options;
    const number = this.#createdCount++;
    // A random sequence per chat makes its turns independent of the order in
    // which chats are picked.
    const random = new Random(Math.imul(seed, 1_000_003) + number);
    const tokens = random.nextInteger(firstTokens);
    return {
      id: `chat-${seed}-${number}`,
      key: this.#pickKey(keys),
      random,
      messages: [{ role: "system", content: random.nextText(tokens) }],
      servedTokens: 0,
      isBusy: false,
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
