/** Manifests of any size around engines that run in this process. */
import type { Manifest, Service } from "../src/config/manifest.ts";
import { Engine } from "../testing/engine.ts";

/** Sizes of a manifest. */
export interface ManifestSize {
  readonly services: number;
  readonly upstreamsPerService: number;
  readonly workspaces: number;
}

/** Engines that answer under as many addresses as a manifest has upstreams. */
export class EngineSet {
  readonly #engines: Engine[] = [];
  readonly #addresses: string[] = [];

  /** Addresses of the first `count` engines. */
  async getAddresses(count: number): Promise<readonly string[]> {
    while (this.#addresses.length < count) {
      const name = `engine-${this.#addresses.length}`;
      const engine = new Engine({ name, coldMs: 0 });
      this.#engines.push(engine);
      this.#addresses.push(await engine.listen(0));
    }
    return this.#addresses.slice(0, count);
  }

  /** Closes every engine. */
  close(): void {
    for (const engine of this.#engines) engine.close();
  }
}

/** Creates a manifest of a size, like the one given. */
export async function createManifest(
  model: Manifest,
  { size, engines }: { size: ManifestSize; engines: EngineSet },
): Promise<Manifest> {
  const { services, upstreamsPerService, workspaces } = size;
  const total = services * upstreamsPerService;
  const addresses = await engines.getAddresses(total);
  const [first] = model.services;
  return {
    ...model,
    services: Array.from(
      { length: services },
      (_, index) =>
        createService(first!, {
          index,
          addresses: addresses.slice(
            index * upstreamsPerService,
            (index + 1) * upstreamsPerService,
          ),
        }),
    ),
    models: Array.from({ length: services }, (_, index) => ({
      ...model.models[0]!,
      name: `model-${index}`,
    })),
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      ...model.workspaces[index % model.workspaces.length]!,
      name: `workspace-${index}`,
      key: `workspace-key-${index}`,
    })),
  };
}

/** Host of an upstream of a service. */
export function getHost(service: number, upstream: number): string {
  return `service-${service}-host-${upstream}`;
}

function createService(
  model: Service,
  { index, addresses }: { index: number; addresses: readonly string[] },
): Service {
  const name = `service-${index}`;
  return {
    ...model,
    name,
    model: `model-${index}`,
    upstreams: addresses.map((address, number) => ({
      ...model.upstreams[number % model.upstreams.length]!,
      name: `${name}-${number}`,
      host: getHost(index, number),
      address,
    })),
  };
}
