import {
  type ChatBody,
  countTokens,
  expectedAnswer,
  expectedEventStream,
  expectedWholeBody,
} from "./answer.ts";

const body: ChatBody = {
  model: "assistant",
  messages: [{ role: "user", content: "Which cone for celadon?" }],
  "max_tokens": 2,
};

describe("answer", () => {
  test("depends only on the request body", () => {
    expect(expectedEventStream(body)).toMatchSnapshot();
    expect(expectedWholeBody(body)).toMatchSnapshot();
    expect(expectedWholeBody({ ...body, max_tokens: 3 }))
      .not.toBe(expectedWholeBody(body));
  });

  test("contains as many tokens as countTokens reports for its text", () => {
    const { text, tokens } = expectedAnswer({ ...body, max_tokens: 40 });
    expect(tokens).toHaveLength(40);
    expect(countTokens(text)).toBe(40);
  });
});
