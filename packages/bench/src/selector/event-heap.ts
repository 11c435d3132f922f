/**
 * The pending events of a simulation on virtual time, earliest first.
 */

/** A binary heap ordered by time, then by order of insertion. */
export interface EventHeap<E> {
  readonly push: (at: number, event: E) => void
  readonly pop: () => { readonly at: number, readonly event: E } | undefined
}

interface Node<E> { readonly at: number, readonly order: number, readonly event: E }

/** Creates an empty heap. */
export function createEventHeap<E> (): EventHeap<E> {
  const nodes: Array<Node<E>> = []
  let order = 0

  const before = (left: Node<E>, right: Node<E>): boolean =>
    left.at < right.at || (left.at === right.at && left.order < right.order)

  function swap (left: number, right: number): void {
    const node = nodes[left]
    nodes[left] = nodes[right]
    nodes[right] = node
  }

  function sink (): void {
    let index = 0
    for (;;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < nodes.length && before(nodes[child], nodes[least])) least = child
      }
      if (least === index) return
      swap(index, least)
      index = least
    }
  }

  return {
    push: (at, event) => {
      nodes.push({ at, order: order++, event })
      let index = nodes.length - 1
      while (index > 0) {
        const parent = (index - 1) >> 1
        if (!before(nodes[index], nodes[parent])) return
        swap(index, parent)
        index = parent
      }
    },
    pop: () => {
      const first = nodes[0]
      const last = nodes.pop()
      if (last === undefined) return undefined
      if (nodes.length > 0) {
        nodes[0] = last
        sink()
      }
      return first
    }
  }
}
