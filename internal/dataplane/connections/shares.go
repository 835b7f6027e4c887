// Package connections says which part of the connections that a model server accepts is whose
// (docs/DESIGN.md section 12.3). Daemons that know the same members agree without a message.
//
// Everything here is a function of its arguments.
package connections

import "tuliprudder/internal/membership"

// extraConnections is how many connections more than a server's slots a store may have: for
// requests that end while the next ones begin.
const extraConnections = 4

// DaemonCounts are the daemons that share a server's connections.
type DaemonCounts struct{ Edges, Stores int }

// Add counts one member.
func (s *DaemonCounts) Add(kind string) {
	switch kind {
	case membership.Edge:
		s.Edges++
	case membership.Store:
		s.Stores++
	}
}

// LimitFor is the share of one daemon of a kind in the connections that a server with some slots takes:
// at least one. A store may have as many as the server has slots and a few more, but the stores
// together no more than half; the edges share the rest.
func (s DaemonCounts) LimitFor(kind string, total int64, slots int) int {
	stores, edges := max(1, s.Stores), max(1, s.Edges)
	half, afterEdges := int(total)/2/stores, (int(total)-s.Edges)/stores
	perStore := max(1, min(slots+extraConnections, half, afterEdges))
	if kind == membership.Store {
		return perStore
	}
	return max(1, (int(total)-perStore*s.Stores)/edges)
}
