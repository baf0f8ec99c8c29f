/** Plain-text tables of run summaries, policies side by side. */
import type {RunSummary} from '../measures/summary.js';

/** One figure of a run as a row of the table. */
interface Row {
  readonly title: string;
  readonly value: (run: RunSummary) => number;
  /** Whether the ratio to the first policy is printed. */
  readonly compared: boolean;
}

const ROWS: readonly Row[] = [
  row('urgent jobs', run => run.urgent.jobs, false),
  row('urgent complete', run => run.urgent.complete, false),
  row('urgent response/ideal mean', run => run.urgent.slowdown.mean, true),
  row('urgent response/ideal p50', run => run.urgent.slowdown.p50, true),
  row('urgent response/ideal p99', run => run.urgent.slowdown.p99, true),
  row('urgent response ms p99', run => run.urgent.responseMs.p99, true),
  row('urgent mean/omniscient', run => run.urgent.omniscientRatio, true),
  row('tasks started', run => run.tasksStarted, false),
  row('wasted messages/start', run => run.waste.total, true),
  row('goodput part', run => run.goodputPart, false),
  row('goodput jobs/s', run => run.goodputJobsPerS, false),
  row('not-run', run => run.results['not-run'] ?? 0, false),
  row('failed', run => run.results['failed'] ?? 0, false),
  row('unknown', run => run.results['unknown'] ?? 0, false),
  row('unconfirmed answers', run => run.unconfirmedAnswers, false),
  row('peak connections/worker', run => run.peakConnections, false),
  row('violations', run => run.violations.length, false),
];

function row(title: string, value: Row['value'], compared: boolean): Row {
  return {title, value, compared};
}

function format(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(4);
}

/** Lines up columns; the first is left-aligned, the others right-aligned. */
export function alignColumns(rows: readonly (readonly string[])[]): string {
  const columns = Math.max(...rows.map(cells => cells.length));
  const widths = Array.from({length: columns}, (_, column) =>
    Math.max(...rows.map(cells => cells[column]?.length ?? 0)),
  );
  return rows
    .map(cells =>
      cells
        .map((cell, column) =>
          column === 0
            ? cell.padEnd(widths[column] ?? 0)
            : cell.padStart(widths[column] ?? 0),
        )
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Table of one scenario; ratios are relative to the first policy. */
export function summaryTable(runs: readonly RunSummary[]): string {
  const base = runs[0];
  const header = ['', ...runs.map(run => run.policy)];
  const body = ROWS.map(({title, value, compared}) => [
    title,
    ...runs.map((run, index) => {
      const text = format(value(run));
      if (!compared || index === 0 || base === undefined) return text;
      const ratio = value(run) / value(base);
      return Number.isFinite(ratio) ? `${text} (x${ratio.toFixed(2)})` : text;
    }),
  ]);
  const kinds = (base?.kinds ?? []).map(({team, kind}) => [
    `${team}/${kind} mean, p50, p99`,
    ...runs.map(run => {
      const found = run.kinds.find(k => k.team === team && k.kind === kind);
      const figures = found?.slowdown ?? {mean: 0, p50: 0, p99: 0};
      return [figures.mean, figures.p50, figures.p99]
        .map(value => value.toFixed(2))
        .join(' ');
    }),
  ]);
  const causes = [...new Set(runs.flatMap(r => Object.keys(r.waste.byCause)))];
  const waste = causes
    .sort()
    .map(cause => [
      `wasted: ${cause}`,
      ...runs.map(run => (run.waste.byCause[cause] ?? 0).toFixed(5)),
    ]);
  return alignColumns([header, ...body, ...kinds, ...waste]);
}
