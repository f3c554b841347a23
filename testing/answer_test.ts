import {
  type ChatBody,
  countTokens,
  getExpectedAnswer,
  getExpectedEventStream,
  getExpectedJsonBody,
} from "./answer.ts";

const body: ChatBody = {
  model: "assistant",
  messages: [{ role: "user", content: "Which cone for celadon?" }],
  "max_tokens": 2,
};

describe("answer", () => {
  test("depends only on the request body", () => {
    expect(getExpectedEventStream(body)).toMatchSnapshot();
    expect(getExpectedJsonBody(body)).toMatchSnapshot();
    expect(getExpectedJsonBody({ ...body, max_tokens: 3 }))
      .not.toBe(getExpectedJsonBody(body));
  });

  test("contains as many tokens as countTokens reports for its text", () => {
    const { text, tokens } = getExpectedAnswer({ ...body, max_tokens: 40 });
    expect(tokens).toHaveLength(40);
    expect(countTokens(text)).toBe(40);
  });
});
