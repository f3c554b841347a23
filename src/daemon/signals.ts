/**
 * Receives the signals of the process from the moment that this module is
 * loaded, which is before all others: a signal without a listener ends the
 * process. `deploy/loader.cjs` does the same before it reads the bundle, and
 * leaves its inbox here.
 *
 * SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV, SIGSYS and SIGTRAP report a fault
 * of the process itself and keep their effect. Node can't receive SIGKILL,
 * SIGSTOP and the real-time signals.
 */
import process from "node:process";

/** Signals that are received; `deploy/loader.cjs` has the same list. */
export const RECEIVED_SIGNALS = [
  "SIGTERM",
  "SIGINT",
  "SIGHUP",
  "SIGQUIT",
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGPROF",
  "SIGIO",
  "SIGPWR",
  "SIGSTKFLT",
  "SIGXCPU",
] as const satisfies readonly NodeJS.Signals[];

/** A signal that is received. */
export type ReceivedSignal = typeof RECEIVED_SIGNALS[number];

interface SignalInbox {
  /** Signals that came before there was a receiver, in order. */
  readonly kept: ReceivedSignal[];
  receive: (signal: ReceivedSignal) => void;
}

const INBOX = Symbol.for("corianderflow.signals");
const inboxes = globalThis as { [INBOX]?: SignalInbox };
const inbox = inboxes[INBOX] ??= openInbox();

function openInbox(): SignalInbox {
  const kept: ReceivedSignal[] = [];
  const opened: SignalInbox = {
    kept,
    receive: (signal) => kept.push(signal),
  };
  for (const signal of RECEIVED_SIGNALS) {
    process.on(signal, () => opened.receive(signal));
  }
  return opened;
}

/** Passes the signals that were kept, and all later ones, to `receive`. */
export function receiveSignals(
  receive: (signal: ReceivedSignal) => void,
): void {
  inbox.receive = receive;
  for (const signal of inbox.kept.splice(0)) receive(signal);
}
