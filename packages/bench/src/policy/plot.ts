/**
 * Draws the p99 latencies of the policies as an SVG bar chart for each user.
 */
import type { TopLevelSpec } from 'vega-lite'
import type { UserFigures } from './scenarios.js'
import { writeChart } from '../chart-file.js'

function createSpec (title: string, p99: UserFigures['p99']): TopLevelSpec {
  const values = Object.entries(p99).flatMap(([policy, settings]) =>
    Object.entries(settings)
      .filter(([setting]) => setting.startsWith('calm') || setting.startsWith('straggling'))
      .map(([setting, ms]) => ({ policy, setting, ms })))
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title,
    data: { values },
    mark: 'bar',
    encoding: {
      x: { field: 'setting', type: 'nominal', title: null },
      xOffset: { field: 'policy' },
      y: { field: 'ms', type: 'quantitative', title: 'p99 of short requests (ms)', scale: { type: 'log' } },
      color: { field: 'policy', type: 'nominal' }
    }
  }
}

/** Writes one SVG file for each user into the folder. */
export async function plotUsers (folder: string, users: Readonly<Record<string, UserFigures>>): Promise<void> {
  for (const [name, { p99 }] of Object.entries(users)) await writeChart(folder, `policy-${name}`, createSpec(name, p99))
}
