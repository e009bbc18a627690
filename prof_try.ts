import { World } from "./test/ownership/world.ts";
const t=process.cpuUsage();
const r=World.play({vms:74,servers:91,faults:[],duration:24_000,seed:1,fitness:Array.from({length:74},(_,i)=>i<8?5:1),
 load:{from:9000,until:23000,rate:840,work:430,speeds:[0.8,1,1,1.2],slots:6,queue:12,target:1208,timeout:3020,keyOf:(d)=>Math.floor(d()**2*65536)}});
const u=process.cpuUsage(t);
console.log((u.user+u.system)/1e6,"s",r.load!.counts(()=>true), Object.fromEntries(r.messages));
