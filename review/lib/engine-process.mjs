// One model runner as a process of its own, which the case kills.
import { Engine } from "./engine.mjs";

const { ip, options, unframedShare } = JSON.parse(process.argv[2]);
const engine = new Engine(options);
let share = 0;
engine.isNextUnframed = () => Math.random() < share;
engine.onRun = (run) => process.send({ run });
process.on("message", ({ isFaulty }) => {
  share = isFaulty ? unframedShare : 0;
});
process.on("disconnect", () => process.exit(0));
await engine.start(ip);
const tell = () => process.send({ entry: engine.entry });
setInterval(tell, 300);
tell();
