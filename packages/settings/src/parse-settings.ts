/**
 * Parses JSON with comments, validates it against a schema and reports errors by line and key. The caller reads the
 * file; this module accesses no files, so that it can validate text from any source.
 */
import type { Node, ParseError } from 'jsonc-parser'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { SettingsError, SettingsProblem } from './settings-error.js'
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import { err, ok } from 'neverthrow'

type Path = ReadonlyArray<string | number>

/** Line number of an offset, counted from 1. */
function lineAt (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}

function formatPath (path: Path): string {
  if (path.length === 0) return '(file)'
  return path.reduce<string>((key, part) => {
    if (typeof part === 'number') return `${key}[${part}]`
    return key === '' ? part : `${key}.${part}`
  }, '')
}

/** Finds the node at the path or, if the file lacks it, its closest ancestor. */
function closestNode (root: Node, path: Path): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node === undefined) continue
    // Returns the property, whose offset is that of its key; the value may be on a later line.
    return node.parent?.type === 'property' ? node.parent : node
  }
  return root
}

function describeIssue (issue: z.core.$ZodIssue): string {
  return issue.message.replace(/^Invalid input: /, '')
}

/** Paths that an issue concerns. An unknown key is reported at the key itself, not at the object that contains it. */
function issuePaths (issue: z.core.$ZodIssue): readonly Path[] {
  const path = issue.path.map(part => typeof part === 'symbol' ? String(part) : part)
  return issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...path, key]) : [path]
}

/** Finds keys that occur more than once in an object. JSON parsers keep the last value and silently drop the others. */
function repeatedKeys (text: string, node: Node, path: Path): readonly SettingsProblem[] {
  const children = node.children ?? []
  if (node.type === 'array') return children.flatMap((child, index) => repeatedKeys(text, child, [...path, index]))
  const seen = new Set<string>()
  return children.flatMap(property => {
    const [name, value] = property.children ?? []
    if (name === undefined) return []
    const key = String(name.value)
    const keyPath = [...path, key]
    const repeated = seen.has(key)
      ? [{ line: lineAt(text, name.offset), key: formatPath(keyPath), expected: 'expected each key once per object' }]
      : []
    seen.add(key)
    return [...repeated, ...(value === undefined ? [] : repeatedKeys(text, value, keyPath))]
  })
}

function syntaxProblem (text: string, error: ParseError): SettingsProblem {
  return {
    line: lineAt(text, error.offset),
    key: '(syntax)',
    expected: `expected JSON with comments (${printParseErrorCode(error.error)})`
  }
}

/**
 * Parses `text`, validates it against `schema` and returns the result with defaults filled in. Comments and trailing
 * commas are allowed. `fileName` only appears in errors.
 */
export function parseSettings<S extends z.ZodType> (
  text: string, fileName: string, schema: S
): Result<z.output<S>, SettingsError> {
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  if (errors.length > 0) return err({ fileName, problems: errors.map(error => syntaxProblem(text, error)) })
  if (root === undefined) return err({ fileName, problems: [{ line: 1, key: '(file)', expected: 'expected an object' }] })
  const repeated = repeatedKeys(text, root, [])
  if (repeated.length > 0) return err({ fileName, problems: repeated })

  const parsed = schema.safeParse(getNodeValue(root))
  if (parsed.success) return ok(parsed.data)
  const problems = parsed.error.issues.flatMap(issue => issuePaths(issue).map(path => ({
    line: lineAt(text, closestNode(root, path).offset),
    key: formatPath(path),
    expected: issue.code === 'unrecognized_keys' ? 'expected no such key' : describeIssue(issue)
  })))
  return err({ fileName, problems: problems.sort((a, b) => a.line - b.line) })
}
