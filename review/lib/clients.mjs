// Clients as PROTOCOL.md describes them: each keeps a connection open for its
// requests, sends one at a time, and gives each attempt an id of its own.
import { connect } from "node:net";
import { delay } from "./deployment.mjs";

let count = 0;

/** Returns an id that no other request of this run has. */
export function newId() {
  count += 1;
  return count.toString(16).padStart(8, "0") +
    Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, "0");
}

/** A kept connection of a client. */
export class Client {
  #socket = null;
  #buffer = Buffer.alloc(0);
  #wake = () => {};
  #isEnded = true;
  /** Answers received on the connection. */
  #answers = 0;

  constructor(address) {
    this.address = address;
  }

  #open() {
    const [host, port] = this.address.split(":");
    const socket = connect({ host, port: Number(port), noDelay: true });
    this.#socket = socket;
    this.#buffer = Buffer.alloc(0);
    this.#isEnded = false;
    this.#answers = 0;
    socket.on("data", (bytes) => {
      if (socket !== this.#socket) return;
      this.#buffer = Buffer.concat([this.#buffer, bytes]);
      this.#wake();
    });
    const end = () => {
      if (socket !== this.#socket) return;
      this.#isEnded = true;
      this.#wake();
    };
    socket.on("error", end);
    socket.on("end", end);
    socket.on("close", end);
  }

  close() {
    this.#socket?.destroy();
    this.#isEnded = true;
  }

  /**
   * Sends a request and returns its answer. `status` is 0 if there is none;
   * `isCut` if that is so since the connection ended, and `isKept` if the
   * connection had brought an answer before. The client gives up, and closes its
   * connection, a little after the time that it states to wait.
   */
  async send({ method, host, path, id, key = null, timeout, body = "" }) {
    if (this.#isEnded) this.#open();
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `X-Plumloft-Request-Id: ${id}`,
      `X-Plumloft-Deadline-Ms: ${timeout}`,
      ...(key === null ? [] : [`X-Plumloft-Shard-Key: ${key}`]),
      ...(method === "GET" ? [] : [`Content-Length: ${body.length}`]),
    ];
    const sentAt = Date.now();
    const isKept = this.#answers > 0;
    this.#socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    if (body.length > 0) this.#socket.write(body);
    const answer = await this.#receive(sentAt + timeout + 1_000);
    return { ...answer, isKept, sentAt, took: Date.now() - sentAt };
  }

  async #receive(until) {
    for (;;) {
      const answer = this.#parse();
      if (answer !== null) return answer;
      const left = until - Date.now();
      if (this.#isEnded || left <= 0) {
        const isCut = this.#isEnded;
        this.close();
        return { status: 0, headers: {}, body: "", isCut };
      }
      await new Promise((done) => {
        const timer = setTimeout(done, left);
        this.#wake = () => {
          clearTimeout(timer);
          done();
        };
      });
    }
  }

  /** Returns the answer in the buffer, or null while it is not complete. */
  #parse() {
    const end = this.#buffer.indexOf("\r\n\r\n");
    if (end < 0) return null;
    const [first, ...lines] = this.#buffer.toString("latin1", 0, end)
      .split("\r\n");
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1)
        .trim();
    }
    // Entries always state a length.
    const start = end + 4;
    const length = Number(headers["content-length"] ?? 0);
    if (this.#buffer.length < start + length) return null;
    const body = this.#buffer.toString("latin1", start, start + length);
    this.#buffer = this.#buffer.subarray(start + length);
    this.#answers += 1;
    if (headers.connection === "close") this.close();
    return { status: Number(first.split(" ")[1]), headers, body };
  }
}

/**
 * Sends requests from `clients` clients to each entry for `seconds`, each
 * client one after the other with `pause` milliseconds between two. `create`
 * returns the next request; each answer is passed to `onAnswer`.
 */
export async function load(entries, clients, seconds, pause, create, onAnswer) {
  const end = Date.now() + seconds * 1_000;
  const run = async (entry) => {
    // Clients do not start together.
    await delay(Math.random() * 1_000);
    const client = new Client(entry.listen);
    while (Date.now() < end) {
      const request = create(entry);
      const answer = await client.send(request);
      onAnswer(request, answer, entry);
      // A machine that is gone gets no more than a few connections.
      if (answer.status === 0) await delay(300);
      await delay(pause * (0.5 + Math.random()));
    }
    client.close();
  };
  await Promise.all(
    entries.flatMap((entry) =>
      Array.from({ length: clients }, () => run(entry))
    ),
  );
}
