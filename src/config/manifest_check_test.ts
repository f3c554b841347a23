import { checkManifest } from "./manifest_check.ts";

function createUpstream(name: string, port: number) {
  return {
    name,
    host: `host-${name}`,
    failureDomain: "east",
    address: `127.0.0.1:${port}`,
    hardLimit: 8,
    coldLimit: 2,
  };
}

function createDocument() {
  return {
    failureDomains: [{ name: "east" }],
    services: [
      {
        name: "chat",
        kind: "engine",
        model: "small" as string | undefined,
        upstreams: [createUpstream("a", 1), createUpstream("b", 2)],
      },
      {
        name: "desk",
        kind: "plain",
        model: undefined as string | undefined,
        routes: [
          { method: "GET", path: "/desk", idempotent: true },
          { method: "POST", path: "/desk", idempotent: false },
        ],
        upstreams: [createUpstream("c", 3)],
      },
    ],
    workspaces: [
      { name: "one", key: "secret-key-1" },
      { name: "two", key: "secret-key-2" },
    ],
  };
}

test("defaults are filled in and the document is not modified", () => {
  const document = createDocument();
  const manifest = checkManifest(document).unwrap();
  expect(manifest.services[0]).toMatchObject({ loadFactor: 1.25, routes: [] });
  expect(manifest.models).toEqual([]);
  expect(document).toEqual(createDocument());
});

test("every schema violation is reported with its path", () => {
  const document = {
    failureDomains: [{ name: "East" }],
    services: [{
      name: "chat",
      kind: "motor",
      upstreams: [{ name: "a", hardLimit: 0, "a/b": 1 }],
    }],
    workspaces: [],
    extra: 1,
  };
  expect(checkManifest(document).val).toMatchSnapshot();
  expect(checkManifest(undefined).val).toEqual([
    { path: "", message: "must be object" },
  ]);
});

test("every fault beyond the schema is reported with its path", () => {
  const document = createDocument();
  const [chat, desk] = document.services;
  chat!.upstreams[1] = {
    ...createUpstream("a", 1),
    failureDomain: "west",
    coldLimit: 9,
  };
  desk!.routes = [
    { method: "GET", path: "/desk", idempotent: true },
    { method: "GET", path: "/desk/", idempotent: true },
    { method: "*", path: "/desk", idempotent: false },
    { method: "GET", path: "/desk/sub", idempotent: true },
  ];
  desk!.model = "small";
  document.workspaces[1] = { name: "one", key: "secret-key-1" };
  document.failureDomains.push({ name: "east" });
  const baseService = {
    ...chat!,
    name: "desk",
    model: undefined,
    upstreams: [],
  };
  document.services.push(
    { ...baseService, upstreams: [createUpstream("d", 4)] },
    {
      ...baseService,
      name: "bare",
      kind: "plain",
      upstreams: [createUpstream("e", 5)],
    },
  );
  const faults = checkManifest(document).val;
  expect(faults).toMatchSnapshot();
  expect(JSON.stringify(faults)).not.toContain("secret");
});
