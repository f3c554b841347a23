import {
  getSettingsStep,
  hasEndLine,
  MAX_SETTINGS_WAIT_MS,
} from "./settings_wait.ts";

const COMPLETE = {
  isValid: true,
  isComplete: true,
  unchangedMs: 0,
  waitedMs: 0,
};

test("valid and complete settings are used at once", () => {
  expect(getSettingsStep(COMPLETE)).toBe("use");
});

// Guards against a half-written file being taken for the settings.
test("invalid settings and valid beginnings are read again for a bounded time", () => {
  const invalid = { ...COMPLETE, isValid: false };
  expect(getSettingsStep(invalid)).toBe("read-again");
  const waitedMs = MAX_SETTINGS_WAIT_MS;
  expect(getSettingsStep({ ...invalid, waitedMs })).toBe("reject");
  const beginning = { ...COMPLETE, isComplete: false };
  expect(getSettingsStep(beginning)).toBe("read-again");
  expect(getSettingsStep({ ...beginning, unchangedMs: 100 })).toBe("use");
  expect(getSettingsStep({ ...beginning, waitedMs })).toBe("use");
});

// Guards against settings cut after a section being used for good.
test("only the last line marks settings as complete", () => {
  expect(hasEndLine("[store]\naddress = x\n; end of settings\n")).toBe(true);
  expect(hasEndLine("[store]\naddress = x\n")).toBe(false);
  expect(hasEndLine("; end of settings\n[limits]\n")).toBe(false);
});
