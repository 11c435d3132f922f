/**
 * Vitest setup file that installs fake timers before any module under test is imported. The library `most` keeps the
 * `Date.now` that it finds when it is imported, so tests must advance these timers and must not call
 * `vi.useFakeTimers()` again.
 */
import { vi } from 'vitest'

vi.useFakeTimers({ now: 0 })
