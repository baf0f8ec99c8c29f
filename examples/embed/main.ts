/** Runs both parts: `node --conditions=source --import=tsx examples/embed/main.ts`. */
import {runReplicatedCounter} from './replicated_counter.js';
import {routeTask} from './route_task.js';

const {before, after, leaders} = await runReplicatedCounter();
console.log(`counter: ${before} at ${leaders[0]}, ${after} at ${leaders[1]}`);
console.log(`routing: ${JSON.stringify(routeTask())}`);
