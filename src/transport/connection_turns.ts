/**
 * Keeps a connection whose requests are pipelined from taking the thread: Node
 * starts each of them at once, whether or not those before it are answered.
 */
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { InFlightCounter, RequestInFlight } from "./in_flight.ts";

/** Requests that one connection starts before others have their turn. */
const MAX_REQUESTS_PER_TURN = 8;
/** Requests of one connection that are served at a time. */
const MAX_OPEN_REQUESTS = 16;
/** Requests that wait; a connection with more is closed. */
const MAX_WAITING_REQUESTS = 256;

/** A request that has not been passed to the server's listener. */
interface WaitingRequest extends RequestInFlight {
  start(): void;
}

/** Requests of one connection. */
class ConnectionTurns {
  /** The last request that was read. */
  lastRequest: IncomingMessage | undefined;
  readonly #socket: Socket;
  readonly #inFlight: InFlightCounter;
  #waiting: WaitingRequest[] = [];
  #openRequests = 0;
  #requestsInTurn = 0;
  #isPaused = false;
  #isWatched = false;

  constructor(socket: Socket, inFlight: InFlightCounter) {
    this.#socket = socket;
    this.#inFlight = inFlight;
  }

  /** Calls `start` now or when it is due; the response ends the request. */
  receive(start: () => void, response: ServerResponse): void {
    if (this.#socket.destroyed) return;
    const startCounted = () => {
      response.once("close", () => {
        this.#openRequests--;
        this.#startWaiting();
      });
      this.#start(start);
    };
    if (this.#mayStart() && this.#waiting.length === 0) {
      startCounted();
      return;
    }
    const request = { socket: this.#socket, start: startCounted };
    this.#waiting.push(request);
    this.#inFlight.recordStart(request);
    this.#pause();
    if (this.#waiting.length <= MAX_WAITING_REQUESTS) return;
    this.#drop();
    this.#socket.destroy();
  }

  #drop(): void {
    const dropped = this.#waiting;
    this.#waiting = [];
    for (const each of dropped) this.#inFlight.recordEnd(each);
  }

  #mayStart(): boolean {
    return this.#openRequests < MAX_OPEN_REQUESTS &&
      this.#requestsInTurn < MAX_REQUESTS_PER_TURN;
  }

  #start(start: () => void): void {
    // Requests that are not pipelined need no turns.
    const isPipelined = this.#openRequests > 0;
    if (isPipelined && this.#requestsInTurn++ === 0) {
      setImmediate(() => {
        this.#requestsInTurn = 0;
        this.#startWaiting();
      });
    }
    this.#openRequests++;
    start();
  }

  #startWaiting(): void {
    if (this.#socket.destroyed) this.#drop();
    while (this.#waiting.length > 0 && this.#mayStart()) {
      const request = this.#waiting.shift()!;
      request.start();
      // The listener has counted it by now.
      this.#inFlight.recordEnd(request);
    }
    if (this.#waiting.length === 0) this.#resume();
  }

  #pause(): void {
    if (this.#isPaused) return;
    const socket = this.#socket;
    this.#isPaused = true;
    // The stream of each request resumes the socket when it is read or dropped.
    socket.resume = () => socket;
    socket.pause();
    this.#stopReading();
    if (this.#isWatched) return;
    this.#isWatched = true;
    // An earlier call may take effect only now.
    socket.on("resume", () => {
      if (this.#isPaused) this.#stopReading();
    });
    socket.once("close", () => this.#drop());
  }

  /** Makes Node stop to read, also if the stream counts as paused already. */
  #stopReading(): void {
    this.#socket.emit("pause");
  }

  #resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    delete (this.#socket as Partial<Pick<Socket, "resume">>).resume;
    this.#socket.resume();
  }
}

const turnsBySocket = new WeakMap<Socket, ConnectionTurns>();

/** Options of `createTurnListener`. */
export interface TurnListenerOptions {
  /** Counts the requests that wait, which a graceful stop is to answer. */
  readonly inFlight: InFlightCounter;
}

/** Returns a listener that passes the requests of each connection in turns. */
export function createTurnListener(
  serve: RequestListener,
  { inFlight }: TurnListenerOptions,
): RequestListener {
  return (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    let turns = turnsBySocket.get(socket);
    if (turns === undefined) {
      turns = new ConnectionTurns(socket, inFlight);
      turnsBySocket.set(socket, turns);
    }
    turns.lastRequest = request;
    turns.receive(() => serve(request, response), response);
  };
}

/**
 * Whether another request has been read after `request` on its connection. A
 * response that closes the connection would leave that one without an answer.
 */
export function hasLaterRequest(request: IncomingMessage): boolean {
  const last = turnsBySocket.get(request.socket)?.lastRequest;
  return last !== undefined && last !== request;
}
