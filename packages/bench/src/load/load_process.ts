/** Process that generates the load of a run. */
import {serveParent} from '../cluster/role_process.js';
import {type ClientOptions, LoadClient} from './client.js';
import {type GeneratorOptions, LoadGenerator} from './generator.js';
import type {JobOutcome} from './outcomes.js';
import type {Scenario} from './scenario.js';
import {buildTrace} from './trace.js';

/** Argument of the call `run`. */
export interface LoadRequest {
  readonly scenario: Scenario;
  readonly client: ClientOptions;
  readonly generator: GeneratorOptions;
}

let generator: LoadGenerator | undefined;

serveParent({
  run: (req: LoadRequest): Promise<JobOutcome[]> => {
    generator = new LoadGenerator(new LoadClient(req.client), req.generator);
    return generator.run(buildTrace(req.scenario));
  },
  queryAll: (outcomes: readonly JobOutcome[]) => generator?.queryAll(outcomes),
});
