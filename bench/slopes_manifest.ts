/** Creates manifests of any size, with engines that run in this process. */
import type { Manifest, Service } from "../src/config/manifest.ts";
import { Engine } from "../testing/engine.ts";

/** Sizes of a manifest. */
export interface ManifestSize {
  readonly services: number;
  readonly upstreamsPerService: number;
  readonly workspaces: number;
}

/** Engines in this process, one for each upstream of a manifest. */
export class EngineSet {
  readonly #engines: Engine[] = [];
  readonly #addresses: string[] = [];

  /** Returns the addresses of `count` engines; starts those that are missing. */
  async getAddresses(count: number): Promise<readonly string[]> {
    while (this.#addresses.length < count) {
      const name = `engine-${this.#addresses.length}`;
      const engine = new Engine({ name, coldMs: 0 });
      this.#engines.push(engine);
      this.#addresses.push(await engine.listen(0));
    }
    return this.#addresses.slice(0, count);
  }

  /** Closes all engines. */
  close(): void {
    for (const engine of this.#engines) engine.close();
  }
}

/** Creates a manifest of a given size from the parts of another. */
export async function createManifest(
  template: Manifest,
  { size, engines }: { size: ManifestSize; engines: EngineSet },
): Promise<Manifest> {
  const { services, upstreamsPerService, workspaces } = size;
  const total = services * upstreamsPerService;
  const addresses = await engines.getAddresses(total);
  const [templateService] = template.services;
  return {
    ...template,
    services: Array.from(
      { length: services },
      (_, index) =>
        createService(templateService!, {
          index,
          addresses: addresses.slice(
            index * upstreamsPerService,
            (index + 1) * upstreamsPerService,
          ),
        }),
    ),
    models: Array.from({ length: services }, (_, index) => ({
      ...template.models[0]!,
      name: `model-${index}`,
    })),
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      ...template.workspaces[index % template.workspaces.length]!,
      name: `workspace-${index}`,
      key: `workspace-key-${index}`,
    })),
  };
}

/** Returns the name of the host of a service's upstream. */
export function getHost(service: number, upstream: number): string {
  return `service-${service}-host-${upstream}`;
}

function createService(
  template: Service,
  { index, addresses }: { index: number; addresses: readonly string[] },
): Service {
  const name = `service-${index}`;
  return {
    ...template,
    name,
    model: `model-${index}`,
    upstreams: addresses.map((address, number) => ({
      ...template.upstreams[number % template.upstreams.length]!,
      name: `${name}-${number}`,
      host: getHost(index, number),
      address,
    })),
  };
}
