/** HTML report with plots that vega-lite renders to SVG. */
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';

import type {RunSummary} from '../measures/summary.js';
import {summaryTable} from './table.js';

/** One measured value of a bar chart. */
export interface Bar {
  readonly group: string;
  readonly policy: string;
  readonly value: number;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

/** Renders grouped bars to SVG. */
export async function barChart(
  title: string,
  axis: string,
  bars: readonly Bar[],
): Promise<string> {
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title,
    width: 640,
    height: 260,
    data: {values: [...bars]},
    mark: 'bar',
    encoding: {
      x: {field: 'group', type: 'nominal', title: '', sort: null},
      xOffset: {field: 'policy', sort: null},
      y: {field: 'value', type: 'quantitative', title: axis},
      color: {field: 'policy', type: 'nominal', sort: null},
    },
  };
  const view = new View(parse(compile(spec).spec), {renderer: 'none'});
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function kindBars(
  runs: readonly RunSummary[],
  value: (kind: RunSummary['kinds'][number]) => number,
): Bar[] {
  return runs.flatMap(run =>
    run.kinds.map(kind => ({
      group: `${kind.team}/${kind.kind}`,
      policy: run.policy,
      value: value(kind),
    })),
  );
}

function wasteBars(runs: readonly RunSummary[]): Bar[] {
  return runs.flatMap(run =>
    Object.entries(run.waste.byCause).map(([group, value]) => ({
      group,
      policy: run.policy,
      value,
    })),
  );
}

/** A page with the table, the plots and the violations of one scenario. */
export async function htmlReport(
  title: string,
  runs: readonly RunSummary[],
): Promise<string> {
  const name = 'response time / ideal';
  const charts = [
    await barChart(
      `Mean ${name}`,
      'mean',
      kindBars(runs, k => k.slowdown.mean),
    ),
    await barChart(
      `99th percentile of ${name}`,
      'p99',
      kindBars(runs, k => k.slowdown.p99),
    ),
    await barChart('Wasted messages per start', 'part', wasteBars(runs)),
  ];
  const violations = runs.flatMap(run =>
    run.violations.map(
      v => `${run.policy}: ${v.invariant}, job ${v.jobIndex}: ${v.detail}`,
    ),
  );
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{overflow:auto}</style>
<h1>${escapeHtml(title)}</h1>
<p>Seed ${runs[0]?.seed ?? ''}. Ratios in parentheses are relative to the first policy.</p>
<pre>${escapeHtml(summaryTable(runs))}</pre>
${charts.join('\n')}
<h2>Violations: ${violations.length}</h2>
<pre>${escapeHtml(violations.join('\n'))}</pre>
</html>
`;
}
