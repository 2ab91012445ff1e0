// One runner of a plain service as a process of its own, which the case kills. It writes its answers in
// pieces while it works. A part of them has no length and ends with its connection.
import { createServer } from "node:http";

const { ip, options, unframedShare } = JSON.parse(process.argv[2]);
const { id, zone, service, slots, pieces, pieceMs } = options;
let share = 0;
process.on("message", ({ isFaulty }) => {
  share = isFaulty ? unframedShare : 0;
});
process.on("disconnect", () => process.exit(0));

const server = createServer(async (request, response) => {
  for await (const _ of request);
  const attempt = request.headers["attempt-id"];
  if (attempt === undefined) {
    return response.writeHead(400, { "Not-Executed": "1", "Content-Length": 0 }).end();
  }
  const expected = request.headers["expect-instance"];
  if (expected !== id) {
    return response.writeHead(421, { "Instance-Id": id, "Content-Length": 0 }).end();
  }
  const isUnframed = Math.random() < share;
  process.send({ run: { id: attempt, at: Date.now(), runner: id, isUnframed } });
  const { socket } = request;
  const headers = { "Attempt-Id": attempt, "Response-Seal": `seal.${id}.${attempt}` };
  if (isUnframed) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${lines.join("")}\r\n`);
  } else response.writeHead(200, headers);
  for (let piece = 1; piece <= pieces; piece++) {
    await new Promise((resolve) => setTimeout(resolve, pieceMs));
    const text = `row ${piece} of ${pieces} for ${attempt}\n`;
    if (isUnframed) socket.write(text);
    else response.write(text);
  }
  if (isUnframed) socket.end();
  else response.end();
});
server.keepAliveTimeout = 15_000;
server.listen(0, ip, () => {
  const tell = () => process.send({
    entry: { service, address: `${ip}:${server.address().port}`, zone, version: "v1",
      slots, state: "ready", coldLeftMs: 0, sequence: 1 },
  });
  setInterval(tell, 300);
  tell();
});
