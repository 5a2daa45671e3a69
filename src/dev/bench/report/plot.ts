/** Renders results as an SVG: a panel of bars for each measure, followed by the line charts. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { ExperimentResult, LineChart, Measure } from '../experiment.js';
import { spreadOf } from '../statistics.js';

const PANEL_WIDTH = 260;
const CHART_WIDTH = 620;
const CHART_HEIGHT = 220;
const PANELS_PER_ROW = 2;

type UnitSpec = Extract<TopLevelSpec, { readonly layer: unknown }>['layer'][number];

function barPanel(measure: Measure, result: ExperimentResult): object {
  const values = result.arms.flatMap(({ arm, measures }) => {
    const found = measures.find(({ name }) => name === measure.name);
    return found === undefined || found.values.length === 0 ? [] : [{ arm, ...spreadOf(found.values) }];
  });
  const title = measure.unit === '' ? measure.name : `${measure.name} (${measure.unit})`;
  const arms = result.arms.map(({ arm }) => arm);
  const y = { field: 'arm', type: 'nominal', title: null, sort: arms };
  const layer: unknown[] = [
    {
      mark: { type: 'bar' },
      encoding: {
        y,
        x: { field: 'median', type: 'quantitative', title: null },
        color: { field: 'arm', type: 'nominal', legend: null, sort: arms },
      },
    },
    {
      mark: { type: 'rule', color: 'black' },
      encoding: { y, x: { field: 'lowest', type: 'quantitative' }, x2: { field: 'highest' } },
    },
  ];
  return { title, width: PANEL_WIDTH, data: { values }, layer: layer as UnitSpec[] };
}

function linePanel(chart: LineChart): object {
  return {
    title: chart.title,
    width: CHART_WIDTH,
    height: CHART_HEIGHT,
    data: { values: chart.points },
    mark: { type: 'line', point: chart.points.length < 100 },
    encoding: {
      x: { field: 'x', type: 'quantitative', title: chart.xTitle },
      y: { field: 'y', type: 'quantitative', title: chart.yTitle },
      color: { field: 'series', type: 'nominal', title: null },
    },
  };
}

function plottedMeasures(result: ExperimentResult): Measure[] {
  const all = new Map<string, Measure>();
  for (const measure of result.arms.flatMap(({ measures }) => measures)) {
    if (!all.has(measure.name)) {
      all.set(measure.name, measure);
    }
  }
  return [...all.values()].filter(({ name }) => result.plotted?.includes(name) ?? true);
}

function rowsOf(panels: readonly object[]): object[] {
  const rows: object[] = [];
  for (let start = 0; start < panels.length; start += PANELS_PER_ROW) {
    rows.push({ hconcat: panels.slice(start, start + PANELS_PER_ROW) });
  }
  return rows;
}

/** Renders a result as SVG text. */
export async function renderPlot(title: string, result: ExperimentResult): Promise<string> {
  const bars = rowsOf(plottedMeasures(result).map((measure) => barPanel(measure, result)));
  const lines = (result.charts ?? []).map(linePanel);
  const spec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title,
    background: 'white',
    vconcat: [...bars, ...lines],
    resolve: { scale: { color: 'independent' } },
  } as unknown as TopLevelSpec;
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
}
