package stores

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/placement"
	"tuliprudder/internal/controlplane/state"
)

// Cluster returns the view that placement needs: the shards, and the registered stores with what
// their heartbeats report.
func (t *Table) Cluster(current *state.State, now clock.Micros) placement.ClusterView {
	cluster := placement.ClusterView{
		Now:          now,
		ServingSince: t.servingSince,
		Shards:       current.Shards,
		Stores:       make(map[string]placement.Store, len(current.Stores)),
	}
	for id, registered := range current.Stores {
		heard := t.byID[id]
		incarnation, live := t.Incarnation(current, id, now)
		cluster.Stores[id] = placement.Store{
			Zone:         registered.Zone,
			Peer:         registered.Peer,
			Incarnation:  incarnation,
			Live:         live,
			Retiring:     registered.Retiring,
			Draining:     heard.heartbeat.Draining,
			Stalled:      heard.heartbeat.Stalled,
			HeardAt:      heard.heardAt,
			FirstHeardAt: heard.firstHeardAt,
			Unreachable:  heard.heartbeat.Unreachable,
			Busy:         heard.heartbeat.Busy,
		}
	}
	return cluster
}
