// Severs the links between a process and some addresses. Tests load it before the program.
//
// The file named by the environment variable LINKS_FILE has the addresses and the state of the links, as JSON:
// `{"state": "silent", "addresses": ["127.0.0.1:80"]}`. States are `open`; `silent`, nothing arrives in either direction;
// `one_way`, nothing arrives at this process; `reset`, connections are reset; and `refused`, established connections work and
// new ones are refused. Bytes on silent links are held back until the links are open again, like those that a kernel sends
// again; a connection that is opened meanwhile stays pending.
"use strict";
const { readFileSync } = require("node:fs");
const { Socket } = require("node:net");

/** Interval between two reads of the file, in milliseconds. */
const READ_INTERVAL = 10;

const file = process.env.LINKS_FILE;
let state = "open";
let addresses = new Set();
let text = "";
/** Connections that this process has opened, with their addresses. */
const sockets = new Map();

/** State of the links of a connection. */
function stateOf(socket) {
  return addresses.has(sockets.get(socket)) ? state : "open";
}

function isDeaf(socket) {
  return ["silent", "one_way"].includes(stateOf(socket));
}

function errorOf(code) {
  return Object.assign(new Error(`connect ${code}`), { code });
}

/** Host and port of the arguments of `connect`. */
function addressOf(args) {
  const first = Array.isArray(args[0]) ? args[0][0] : args[0];
  const { host, port } = typeof first === "object"
    ? first
    : { host: args[1], port: first };
  return `${host}:${port}`;
}

/** Holds back what passes through a socket while its links are severed. */
function hold(socket) {
  const incoming = [];
  const outgoing = [];
  const { push } = socket;
  socket.push = function (...args) {
    if (!isDeaf(this)) return push.apply(this, args);
    incoming.push(args);
    return true;
  };
  for (const name of ["_write", "_writev"]) {
    const write = socket[name];
    socket[name] = function (...args) {
      if (stateOf(this) !== "silent") return write.apply(this, args);
      const callback = args.pop();
      outgoing.push(() => write.call(this, ...args, () => {}));
      callback();
    };
  }
  socket.releaseHeld = () => {
    if (stateOf(socket) !== "silent") {
      for (const send of outgoing.splice(0)) {
        if (!socket.destroyed) send();
      }
    }
    if (isDeaf(socket)) return;
    for (const args of incoming.splice(0)) {
      if (!socket.destroyed) push.apply(socket, args);
    }
  };
}

const { connect } = Socket.prototype;
Socket.prototype.connect = function (...args) {
  sockets.set(this, addressOf(args));
  this.once("close", () => sockets.delete(this));
  hold(this);
  const links = stateOf(this);
  if (links === "open") return connect.apply(this, args);
  this.connecting = true;
  const code = { refused: "ECONNREFUSED", reset: "ECONNRESET" }[links];
  if (code !== undefined) process.nextTick(() => this.destroy(errorOf(code)));
  return this;
};

function readLinks() {
  let read;
  try {
    read = readFileSync(file, "utf8");
  } catch {
    return;
  }
  if (read === text) return;
  text = read;
  const links = JSON.parse(read);
  state = links.state;
  addresses = new Set(links.addresses);
  for (const socket of [...sockets.keys()]) {
    if (stateOf(socket) === "reset") socket.destroy(errorOf("ECONNRESET"));
    else if (!socket.connecting) socket.releaseHeld();
  }
}

if (file !== undefined) setInterval(readLinks, READ_INTERVAL).unref();
