/**
 * Cuts off UDP sockets of this process from each other, so that a test can lose
 * the datagrams of one router; sockets that a stopped process holds keep them.
 */
import { Socket } from "node:dgram";

type Send = (bytes: Buffer, port: number, host: string) => void;

/** Drops the datagrams to and from some addresses until it is closed. */
export class DatagramCut {
  readonly #addresses = new Set<string>();
  readonly #send = Reflect.get(Socket.prototype, "send") as Send;

  open(): this {
    const isCut = (address: string) => this.#addresses.has(address);
    const send = this.#send;
    Reflect.set(
      Socket.prototype,
      "send",
      function (this: Socket, bytes: Buffer, port: number, host: string) {
        const { address, port: ownPort } = this.address();
        if (isCut(`${host}:${port}`) || isCut(`${address}:${ownPort}`)) return;
        send.call(this, bytes, port, host);
      },
    );
    return this;
  }

  /** Drops datagrams to and from `address`, `ip:port`. */
  add(address: string): void {
    this.#addresses.add(address);
  }

  close(): void {
    Reflect.set(Socket.prototype, "send", this.#send);
  }
}
