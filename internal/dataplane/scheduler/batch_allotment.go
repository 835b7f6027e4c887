package scheduler

import (
	"cmp"
	"math"
	"slices"

	"tuliprudder/internal/dataplane/endpoints"
)

// labelZone is the label that names a server's zone.
const labelZone = "zone"

// BatchAllotment is a daemon's part of the places that all servers together have for batch items:
// of Total parts those from Offset on, Size of them. Daemons whose parts don't overlap don't take
// the same places, but that each has one place at least.
type BatchAllotment struct{ Offset, Size, Total int }

// of are the places in the allotment.
func (a BatchAllotment) of(places []string) []string {
	if len(places) == 0 || a.Total <= 0 {
		return places
	}
	first := min(a.Offset*len(places)/a.Total, len(places)-1)
	end := (a.Offset + a.Size) * len(places) / a.Total
	return places[first:min(max(end, first+1), len(places))]
}

// batchPlaces lists the places for batch items of all servers, by the server's name. Every daemon
// lists them in the same order: zone by zone, and in a zone first one place of each server, then a
// second one of each, and so on. So a daemon's places are on as many servers as possible, in as
// few zones as possible.
func (sc *Scheduler) batchPlaces() []string {
	servers := make([]endpoints.Server, 0, len(sc.servers))
	for _, s := range sc.servers {
		if !s.server.Removed && !s.server.Draining {
			servers = append(servers, s.server)
		}
	}
	slices.SortFunc(servers, func(a, b endpoints.Server) int {
		return cmp.Or(cmp.Compare(a.Labels[labelZone], b.Labels[labelZone]), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for from := 0; from < len(servers); {
		to := from
		for to < len(servers) && servers[to].Labels[labelZone] == servers[from].Labels[labelZone] {
			to++
		}
		out = append(out, sc.placesInTurn(servers[from:to])...)
		from = to
	}
	return out
}

// placesInTurn lists the places of some servers, one of each in turn.
func (sc *Scheduler) placesInTurn(servers []endpoints.Server) []string {
	var out []string
	for round := 0; ; round++ {
		before := len(out)
		for _, server := range servers {
			if round < sc.batchCapacity(server) {
				out = append(out, server.Name)
			}
		}
		if len(out) == before {
			return out
		}
	}
}

// batchLimit is how many batch items this daemon may have on a server: as many as it has places
// there, and with what others have there no more than the server may run.
func (sc *Scheduler) batchLimit(server endpoints.Server) int {
	limit := sc.batchCapacity(server) - sc.otherBatchItems[server.Name]
	if sc.batchLimits != nil {
		limit = min(limit, sc.batchLimits[server.Name])
	}
	return max(0, limit)
}

// batchCapacity is how many batch items of all daemons a server may run.
func (sc *Scheduler) batchCapacity(server endpoints.Server) int {
	return max(1, int(math.Round(sc.settings.MinUtilizationLimit*float64(server.Slots))))
}

// SetOtherBatchItems says how many batch items of other daemons run on the servers, by their names.
func (sc *Scheduler) SetOtherBatchItems(byServer map[string]int) {
	sc.otherBatchItems = byServer
	sc.changed = true
}

// RunningBatchItems counts this daemon's batch items on the servers, by their names.
func (sc *Scheduler) RunningBatchItems() map[string]int {
	out := map[string]int{}
	for name, s := range sc.servers {
		if s.runningBatchItems > 0 {
			out[name] = s.runningBatchItems
		}
	}
	return out
}

// SetBatchAllotment says which part of the servers' places for batch items is this daemon's.
func (sc *Scheduler) SetBatchAllotment(allotment BatchAllotment) {
	limits := map[string]int{}
	for _, name := range allotment.of(sc.batchPlaces()) {
		limits[name]++
	}
	sc.batchLimits = limits
	sc.changed = true
}
