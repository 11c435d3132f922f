/**
 * Client blocks as sorted ranges in typed arrays. Nested blocks are resolved when the table is built, so a search finds
 * the longest prefix with one binary search. A range is its first address and its owner and reaches to the next
 * range: 8 bytes for IPv4, 12 for IPv6. Ranges without an owner fill the gaps.
 */
import type { Block } from './address.js'
import { MAX_PREFIX, parseAddress, parseBlock } from './address.js'

/** What a client block says about its clients. */
export interface Origin {
  readonly zone: string
  readonly tenant: string
}

/** Finds the origin of a client. */
export interface BlockTable {
  /** Origin of the longest block that contains the address; `undefined` if none does or the text is no address. */
  readonly find: (address: string) => Origin | undefined
  /** Blocks in the table. */
  readonly size: number
  readonly ranges: number
  /** Bytes of the typed arrays. */
  readonly bytes: number
}

/** Collects blocks, one object of the platform after the other, without holding all their texts. */
export interface BlockTableBuilder {
  /** Returns false, and adds nothing, if the block is malformed. Of two equal blocks the first one added counts. */
  readonly add: (cidr: string, origin: Origin) => boolean
  readonly build: () => BlockTable
}

/** A block as one integer that sorts by first address, then prefix length, then order of adding. */
const OWNER_BITS = 20n
const PREFIX_BITS = 7n
const OWNER_MASK = (1n << OWNER_BITS) - 1n
const PREFIX_MASK = (1n << PREFIX_BITS) - 1n
/** Distinct pairs of zone and tenant. Owner 0 stands for none. */
const MAX_OWNERS = Number(OWNER_MASK)
const INITIAL_BLOCKS = 1_024

interface Ranges {
  readonly starts: Uint32Array | BigUint64Array
  readonly owners: Uint32Array
}

/** Creates an empty builder. */
export function createBlockTableBuilder (): BlockTableBuilder {
  const origins: Origin[] = [{ zone: '', tenant: '' }]
  const ownerByName = new Map<string, number>()
  let packed4 = new BigUint64Array(INITIAL_BLOCKS)
  let size4 = 0
  const packed6: bigint[] = []

  function ownerOf (origin: Origin): number {
    const name = JSON.stringify([origin.zone, origin.tenant])
    const known = ownerByName.get(name)
    if (known !== undefined) return known
    const owner = origins.push({ zone: origin.zone, tenant: origin.tenant }) - 1
    ownerByName.set(name, owner)
    return owner
  }

  function add (cidr: string, origin: Origin): boolean {
    const block = parseBlock(cidr)
    if (block === undefined || origins.length > MAX_OWNERS) return false
    const packed = pack(block, ownerOf(origin))
    if (block.family === 6) packed6.push(packed)
    else {
      if (size4 === packed4.length) {
        const grown = new BigUint64Array(size4 * 2)
        grown.set(packed4)
        packed4 = grown
      }
      packed4[size4] = packed
      size4 += 1
    }
    return true
  }

  function build (): BlockTable {
    const sorted4 = packed4.slice(0, size4).sort()
    const sorted6 = [...packed6].sort((a, b) => (a < b ? -1 : a > b ? 1 : 0))
    const ranges4 = flatten(sorted4, 4)
    const ranges6 = flatten(sorted6, 6)
    return {
      find: text => {
        const address = parseAddress(text)
        if (address === undefined) return undefined
        const owner = ownerAt(address.family === 4 ? ranges4 : ranges6, address.value)
        return owner === 0 ? undefined : origins[owner]
      },
      size: size4 + packed6.length,
      ranges: ranges4.owners.length + ranges6.owners.length,
      bytes: [ranges4, ranges6].reduce((sum, { starts, owners }) => sum + starts.byteLength + owners.byteLength, 0)
    }
  }

  return { add, build }
}

function pack (block: Block, owner: number): bigint {
  return (((BigInt(block.value) << PREFIX_BITS) | BigInt(block.prefix)) << OWNER_BITS) | BigInt(owner)
}

/** Growing ranges in order of their first address. Typed arrays keep the build's memory near that of the table. */
function createRanges (family: 4 | 6, capacity: number): { begin: (start: bigint, owner: number) => void, end: () => Ranges } {
  const starts = family === 4 ? new Uint32Array(capacity) : new BigUint64Array(capacity)
  const owners = new Uint32Array(capacity)
  const limit = 1n << BigInt(MAX_PREFIX[family])
  let size = 0
  let last = -1n
  return {
    begin: (start, owner) => {
      if (start === limit) return
      if (last === start) size -= 1
      last = start
      if ((size === 0 ? 0 : owners[size - 1]) === owner) {
        last = -1n
        return
      }
      starts[size] = family === 4 ? Number(start) : start
      owners[size] = owner
      size += 1
    },
    end: () => ({ starts: starts.slice(0, size), owners: owners.slice(0, size) })
  }
}

/** Walks the blocks in order and keeps the stack of those that contain the current address. */
function flatten (sorted: BigUint64Array | readonly bigint[], family: 4 | 6): Ranges {
  // Each block begins one range and ends with the begin of at most one other.
  const ranges = createRanges(family, sorted.length * 2)
  const open: Array<{ readonly end: bigint, readonly owner: number }> = []
  function closeUpTo (address: bigint): void {
    for (let top = open.at(-1); top !== undefined && top.end <= address; top = open.at(-1)) {
      open.pop()
      ranges.begin(top.end, open.at(-1)?.owner ?? 0)
    }
  }
  const bits = BigInt(MAX_PREFIX[family])
  let previous = -1n
  for (const packed of sorted) {
    const key = packed >> OWNER_BITS
    if (key === previous) continue
    previous = key
    const start = key >> PREFIX_BITS
    const owner = Number(packed & OWNER_MASK)
    closeUpTo(start)
    open.push({ end: start + (1n << (bits - (key & PREFIX_MASK))), owner })
    ranges.begin(start, owner)
  }
  closeUpTo(1n << bits)
  return ranges.end()
}

/** Owner of the last range that starts at or below the value. */
function ownerAt ({ starts, owners }: Ranges, value: number | bigint): number {
  let low = 0
  let high = starts.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((starts[middle] ?? 0) <= value) low = middle + 1
    else high = middle
  }
  return owners[low - 1] ?? 0
}
