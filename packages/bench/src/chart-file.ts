/**
 * Renders Vega-Lite charts to SVG files.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { TopLevelSpec } from 'vega-lite'
import { View, parse } from 'vega'
import { compile } from 'vega-lite'

/** Renders the chart to `name.svg` in the folder, which is created if it is missing. */
export async function writeChart (folder: string, name: string, spec: TopLevelSpec): Promise<void> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' })
  await mkdir(folder, { recursive: true })
  await writeFile(join(folder, `${name}.svg`), await view.toSVG())
}
