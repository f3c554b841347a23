import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { checkManifest } from "./manifest_check.ts";
import { readSettings } from "./settings.ts";

const ROOT = join(__dirname, "../../deployments");

test.each([
  ["rokuro", { engines: 8, base: 18_000, firstPlatform: 12_379 }],
  ["tuul", { engines: 6, base: 19_000, firstPlatform: 13_379 }],
])(
  "the manifest and settings files of %s are valid and consistent",
  (name, { engines, base, firstPlatform }) => {
    const directory = join(ROOT, name);
    const manifest = checkManifest(
      JSON.parse(readFileSync(join(directory, "manifest.json"), "utf8")),
    ).unwrap();
    expect(manifest.services.map(({ upstreams }) => upstreams.length))
      .toEqual([engines, 3]);
    expect(manifest.workspaces).toHaveLength(10);
    expect(new Set(manifest.workspaces.map(({ weight }) => weight)).size).toBe(
      2,
    );
    const domains = manifest.failureDomains.map((domain) => domain.name);
    expect(domains).toHaveLength(3);

    const files = readdirSync(directory).filter((file) =>
      file.endsWith(".ini")
    );
    const routers = files.sort().map((file) =>
      readSettings(readFileSync(join(directory, file), "utf8"), file).unwrap()
    );
    expect(routers).toHaveLength(6);
    routers.forEach(({ router, listen, platform, fleet }, index) => {
      expect(domains).toContain(router.failureDomain);
      expect(listen).toEqual({
        callers: `127.0.0.1:${base + 81 + index}`,
        control: `127.0.0.1:${base + 181 + index}`,
        forward: `127.0.0.1:${base + 281 + index}`,
      });
      expect(platform).toEqual({
        keyValue: [`127.0.0.1:${firstPlatform}`],
        hostList: `127.0.0.1:${firstPlatform + 1}`,
        weightStore: `127.0.0.1:${firstPlatform + 2}`,
      });
      const others = routers.filter((other) => other.router !== router);
      expect(fleet.seedPeers).toEqual(
        others.map((peer) => peer.listen.control),
      );
    });
  },
);

test("no two deployments share an upstream address", () => {
  const text = ["rokuro", "tuul"].map((name) =>
    readFileSync(join(ROOT, name, "manifest.json"), "utf8")
  );
  const addresses = text.flatMap((part) => part.match(/127[0-9.]+:[0-9]+/g));
  expect(new Set(addresses).size).toBe(addresses.length);
});
