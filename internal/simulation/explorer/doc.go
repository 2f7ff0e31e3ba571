// Package explorer searches orders of events over the real control machines:
// which message arrives next, which is late, lost or repeated, who crashes
// before or after its sync, with what disk it starts again, who is cut off, and
// when time passes. A history is a list of steps; the same steps give the same
// history. Searches are complete within bounds (Search) or drawn by a seed and
// far longer (Walk); a history that breaks an invariant is shortened (Shorten).
package explorer
