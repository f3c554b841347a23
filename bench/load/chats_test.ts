import { Chats, type Turn } from "./chats.ts";

const options = { keys: ["a-key", "b-key", "c-key"], chats: 5, minPauseMs: 10 };

function takeTurn(chats: Chats, now: number): Turn {
  const turn = chats.nextTurn(now);
  if (turn === undefined) throw new Error("no idle chat");
  return turn;
}

describe("Chats", () => {
  test("sends the whole history with the last response", () => {
    const chats = new Chats({ ...options, chats: 1 });
    const first = takeTurn(chats, 0);
    expect(first.servedTokens).toBe(0);
    expect(chats.nextTurn(0)).toBeUndefined();
    chats.completeTurn(first, { text: "abc def ", now: 0 });
    expect(chats.nextTurn(9)).toBeUndefined();
    const second = takeTurn(chats, 10);
    expect(second.chatId).toBe(first.chatId);
    expect(second.servedTokens).toBe(first.promptTokens + 2);
    const history = second.body.messages.slice(0, -1);
    const answer = { role: "assistant", content: "abc def " };
    expect(history).toEqual([...first.body.messages, answer]);
  });

  test("sends the same turn again after a refusal", () => {
    const chats = new Chats({ ...options, chats: 1 });
    const turn = takeTurn(chats, 0);
    chats.requeueTurn(turn, { notBefore: 100 });
    expect(chats.nextTurn(99)).toBeUndefined();
    expect(takeTurn(chats, 100)).toBe(turn);
  });

  test("ends a chat whose history is too long", () => {
    const chats = new Chats({ ...options, chats: 1, maxHistoryTokens: 1 });
    const first = takeTurn(chats, 0);
    chats.completeTurn(first, { text: "", now: 0 });
    const next = takeTurn(chats, 10);
    expect(next.chatId).not.toBe(first.chatId);
    expect(next.servedTokens).toBe(0);
  });

  test("creates the same chats for the same seed", () => {
    const createFirstTurn = (seed: number) =>
      takeTurn(new Chats({ ...options, seed }), 0);
    expect(createFirstTurn(7)).toEqual(createFirstTurn(7));
    expect(createFirstTurn(7)).not.toEqual(createFirstTurn(8));
  });
});
