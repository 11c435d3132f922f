/**
 * A priority queue of the pending events of a simulation, earliest first.
 */

/** A binary heap ordered by time, then by order of insertion. */
export interface EventHeap<E> {
  readonly push: (at: number, event: E) => void
  readonly pop: () => { readonly at: number, readonly event: E } | undefined
}

interface HeapEntry<E> { readonly at: number, readonly order: number, readonly event: E }

/** Creates an empty heap. */
export function createEventHeap<E> (): EventHeap<E> {
  const entries: Array<HeapEntry<E>> = []
  let order = 0

  const before = (left: HeapEntry<E>, right: HeapEntry<E>): boolean =>
    left.at < right.at || (left.at === right.at && left.order < right.order)

  function swap (left: number, right: number): void {
    const entry = entries[left]
    entries[left] = entries[right]
    entries[right] = entry
  }

  function siftDown (): void {
    let index = 0
    for (;;) {
      let earliest = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < entries.length && before(entries[child], entries[earliest])) earliest = child
      }
      if (earliest === index) return
      swap(index, earliest)
      index = earliest
    }
  }

  return {
    push: (at, event) => {
      entries.push({ at, order: order++, event })
      let index = entries.length - 1
      while (index > 0) {
        const parent = (index - 1) >> 1
        if (!before(entries[index], entries[parent])) return
        swap(index, parent)
        index = parent
      }
    },
    pop: () => {
      const first = entries[0]
      const last = entries.pop()
      if (last === undefined) return undefined
      if (entries.length > 0) {
        entries[0] = last
        siftDown()
      }
      return first
    }
  }
}
