/**
 * Draws throughput and median latency of the entry instance and of the pass-through proxy as an SVG bar chart.
 */
import type { TopLevelSpec } from 'vega-lite'
import type { PathFigures } from './measure.js'
import { writeChart } from '../chart-file.js'

function createSpec ({ requestsPerSecond, p50Ms }: PathFigures): TopLevelSpec {
  const values = [
    { server: 'entry instance', measure: 'requests/s', value: requestsPerSecond.entry },
    { server: 'pass-through', measure: 'requests/s', value: requestsPerSecond.passThrough },
    { server: 'entry instance', measure: 'p50 (ms)', value: p50Ms.entry },
    { server: 'pass-through', measure: 'p50 (ms)', value: p50Ms.passThrough }
  ]
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: 'Request path on loopback',
    data: { values },
    mark: 'bar',
    encoding: {
      column: { field: 'measure', type: 'nominal', title: null },
      x: { field: 'server', type: 'nominal', title: null },
      y: { field: 'value', type: 'quantitative', title: null }
    },
    resolve: { scale: { y: 'independent' } }
  }
}

/** Writes `path.svg` into the folder. */
export async function plotPath (folder: string, figures: PathFigures): Promise<void> {
  await writeChart(folder, 'path', createSpec(figures))
}
