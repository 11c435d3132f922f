/**
 * Pauses the runtime's clock before any module under test is imported. `most` keeps the `Date.now` that it
 * finds at import, so tests must advance this clock and must not call `vi.useFakeTimers()` again.
 */
import { vi } from 'vitest'

vi.useFakeTimers({ now: 0 })
