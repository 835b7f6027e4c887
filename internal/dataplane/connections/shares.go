// Package connections divides the connections that a model server accepts among the daemons
// (docs/DESIGN.md section 12.3). Daemons that know the same members compute the same limits
// without exchanging messages.
//
// All functions depend on their arguments only.
package connections

import "tuliprudder/internal/membership"

// extraConnections is the number of connections that a store may have beyond a server's slots,
// for requests that start while previous ones are ending.
const extraConnections = 4

// DaemonCounts counts the daemons that share a server's connections.
type DaemonCounts struct{ Edges, Stores int }

// Add adds a member of the given kind. Kinds other than edge and store are ignored.
func (s *DaemonCounts) Add(kind string) {
	switch kind {
	case membership.Edge:
		s.Edges++
	case membership.Store:
		s.Stores++
	}
}

// LimitFor returns the number of connections that a daemon of the given kind may open to a server
// that accepts total connections and has the given slots. It is at least one. A store may have
// extraConnections more than the server has slots, but all stores together at most half of the
// total; the edges share the rest.
func (s DaemonCounts) LimitFor(kind string, total int64, slots int) int {
	stores, edges := max(1, s.Stores), max(1, s.Edges)
	half, afterEdges := int(total)/2/stores, (int(total)-s.Edges)/stores
	perStore := max(1, min(slots+extraConnections, half, afterEdges))
	if kind == membership.Store {
		return perStore
	}
	return max(1, (int(total)-perStore*s.Stores)/edges)
}
