import { readFileSync } from 'node:fs'
import { expect, it } from 'vitest'
import { METRICS, createMetrics } from '../src/index.js'
import type { Metric } from '../src/index.js'

it('has exactly the metrics of docs/metrics.md, guarding against a page that is out of date', () => {
  const page = readFileSync(new URL('../../../docs/metrics.md', import.meta.url), 'utf8')
  const rows = page.split('\n').filter(line => line.startsWith('| `arbutustray_'))
  expect(rows).toEqual(Object.entries<Metric>(METRICS).map(([name, metric]) =>
    `| \`${name}\` | ${metric.type} | ${metric.labels.map(label => `\`${label}\``).join(', ')} | ${metric.help} |`))
})

it('follows the Prometheus naming rules, guarding against names from which tools infer a wrong type or unit', () => {
  for (const [name, metric] of Object.entries<Metric>(METRICS)) {
    expect(name.endsWith('_total'), name).toBe(metric.type === 'counter')
    if (metric.type === 'histogram') expect(name).toMatch(/_seconds$/)
  }
})

it('removes the values of a gauge that are not set again, guarding against stale values of removed services', async () => {
  const metrics = createMetrics()
  metrics.replace('arbutustray_peers', [[{ state: 'live' }, 6], [{ state: 'silent' }, 1]])
  metrics.replace('arbutustray_peers', [[{ state: 'live' }, 7]])
  const text = await metrics.text()
  metrics.close()
  expect(text).toContain('arbutustray_peers{state="live"} 7')
  expect(text).not.toContain('silent')
})
