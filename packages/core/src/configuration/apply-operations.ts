/**
 * Applies operations to the rows of a configuration, all of them or none.
 */
import type { Result } from 'neverthrow'
import type { Configuration, ConfigurationRows, ConfigurationTable, Operation } from '../configuration.js'
import type { ConfigurationProblem } from './problem.js'
import { err, ok } from 'neverthrow'
import { rowKey } from '../configuration.js'
import { CONFIGURATION_TABLES, validateConfiguration } from './validate-configuration.js'

type Rows = { -readonly [T in ConfigurationTable]: Map<string, ConfigurationRows[T]> }

/**
 * Returns the configuration with the operations applied and validated; `version` and `recent` are unchanged. The order
 * of the operations does not matter, because each may name a row only once. Errors: all problems of the operations, or
 * else all problems of the resulting rows.
 */
export function applyOperations (
  configuration: Configuration, operations: readonly Operation[]
): Result<Configuration, readonly ConfigurationProblem[]> {
  const rows = Object.fromEntries(CONFIGURATION_TABLES.map(table => [table, rowsByKey(configuration, table)])) as unknown as Rows
  const operatedRows = new Set<string>()
  const problems: ConfigurationProblem[] = []
  for (const operation of operations) {
    const problem = applyOperation(rows, operation, operatedRows)
    if (problem !== undefined) problems.push(problem)
  }
  if (problems.length > 0) return err(problems)
  const tables = Object.fromEntries(CONFIGURATION_TABLES.map(table => [table, [...rows[table].values()]]))
  const applied = { ...configuration, ...tables }
  const found = validateConfiguration(applied)
  return found.length > 0 ? err(found) : ok(applied)
}

function rowsByKey<T extends ConfigurationTable> (configuration: Configuration, table: T): Map<string, ConfigurationRows[T]> {
  const rows = configuration[table] as ReadonlyArray<ConfigurationRows[T]>
  return new Map(rows.map(row => [rowKey(table, row), row]))
}

function applyOperation (rows: Rows, operation: Operation, operatedRows: Set<string>): ConfigurationProblem | undefined {
  const { table } = operation
  if (!CONFIGURATION_TABLES.includes(table)) {
    return { code: 'unknown-table', key: String(table), detail: 'the table does not exist' }
  }
  const target = rows[table] as Map<string, ConfigurationRows[ConfigurationTable]>
  const key = 'put' in operation ? rowKey(table, operation.put) : operation.remove
  const name = `${table} ${key}`
  if (operatedRows.has(name)) return { code: 'duplicate-row', table, key, detail: 'two operations name the row' }
  operatedRows.add(name)
  if ('put' in operation) target.set(key, operation.put)
  else if (!target.delete(key)) return { code: 'unknown-row', table, key, detail: 'the row to remove does not exist' }
  return undefined
}
