/**
 * Opens the configuration store for a command.
 */
import { Err, Ok, type Result } from "ts-results/result";
import {
  type ConfigurationStore,
  createConfigurationStore,
} from "../config/configuration_store.ts";
import { SNAPSHOT_HEAD_KEY } from "../config/configuration_snapshot.ts";
import { createEtcdKeyValue } from "../store/etcd_key_value.ts";
import type { KeyValue } from "../store/key_value.ts";
import { CommandFailure, toReadFailure } from "./command_failure.ts";

/** An open configuration store and its connection. */
export interface StoreSession {
  readonly store: ConfigurationStore;
  /** Closes the connection to the key-value service. */
  close(): Promise<void>;
}

/**
 * Opens the store at the first of `addresses` that answers. The failure is that
 * of the last address, or `bad-input` if there is none.
 */
export async function openStore(
  addresses: readonly string[],
): Promise<Result<StoreSession, CommandFailure>> {
  let failure = new CommandFailure(
    "bad-input",
    "No key-value service is configured. Pass --key-value IP:PORT or " +
      "--settings FILE with key_value under [platform].",
  );
  for (const address of addresses) {
    const keyValue = createEtcdKeyValue({ address });
    const answer = await keyValue.get(SNAPSHOT_HEAD_KEY);
    if (answer.ok) return Ok(createSession(keyValue));
    await keyValue.close();
    failure = toReadFailure({ kind: "platform", failure: answer.val });
  }
  return Err(failure);
}

function createSession(keyValue: KeyValue): StoreSession {
  return {
    store: createConfigurationStore({ keyValue }),
    close: () => keyValue.close(),
  };
}
