/** Values that were in use before fields had limits. */
import { decodeConfiguration } from "./documents.ts";

function createConfiguration({ tenant = "acme", host = "a.example" } = {}) {
  return {
    version: 2,
    routes: [{
      name: "chat",
      host,
      prefix: "/",
      kind: "stream",
      service: "engine",
      timeoutMs: 1_000,
    }],
    services: [{ name: "engine" }],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    tenants: [{ name: tenant, apiKeys: ["k"] }],
  };
}

// Guards against one name that stops all later configurations, and with them the
// removal of keys (CONFIG), and at a router that starts all requests (LOST).
test.each([
  ["a tenant with a letter beyond ASCII", { tenant: "M\u00fcller" }],
  ["a host name of 253 characters", {
    host: `${"a".repeat(63)}.`.repeat(3) + "a".repeat(61),
  }],
])("a configuration with %s is in use", (_, names) => {
  expect(decodeConfiguration(createConfiguration(names)).version).toBe(2);
});
