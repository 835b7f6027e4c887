// Package connections says which part of the connections that a model server accepts is whose
// (docs/DESIGN.md section 12.3). Daemons that know the same members agree without a message.
//
// Everything here is a function of its arguments.
package connections

import "tuliprudder/internal/membership"

// extraConnections is how many connections more than a server's slots a store may have: for
// requests that end while the next ones begin.
const extraConnections = 4

// Shares are the daemons that share a server's connections.
type Shares struct{ Edges, Stores int }

// Count counts one member.
func (s *Shares) Count(kind string) {
	switch kind {
	case membership.Edge:
		s.Edges++
	case membership.Store:
		s.Stores++
	}
}

// Of is the share of one daemon of a kind in the connections that a server with some slots takes:
// at least one. A store may have as many as the server has slots and a few more, but the stores
// together no more than half; the edges share the rest.
func (s Shares) Of(kind string, total int64, slots int) int {
	stores, edges := max(1, s.Stores), max(1, s.Edges)
	half, afterEdges := int(total)/2/stores, (int(total)-s.Edges)/stores
	ofStore := max(1, min(slots+extraConnections, half, afterEdges))
	if kind == membership.Store {
		return ofStore
	}
	return max(1, (int(total)-ofStore*s.Stores)/edges)
}
