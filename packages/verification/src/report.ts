/** Text form of an exploration's result. */
import type {Exploration, ExplorationBounds} from './explorer.js';

/** One line for a passed check; the trace as well for a violation. */
export function formatExploration(
  name: string,
  bounds: ExplorationBounds,
  {states, depth, exhaustive, violation}: Exploration,
): string {
  const scope = exhaustive
    ? `all traces up to ${bounds.maxDepth} steps`
    : `stopped at depth ${depth}`;
  const summary = `${name}: ${states} states, ${scope}`;
  if (!violation) return `${summary}, no violation`;
  const steps = violation.trace.map((label, i) => `  ${i + 1}. ${label}`);
  const header = `${summary}, VIOLATION: ${violation.reason}`;
  return [header, ...steps].join('\n');
}
