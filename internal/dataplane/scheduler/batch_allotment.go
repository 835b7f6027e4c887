package scheduler

import (
	"cmp"
	"math"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/connections"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/membership"
)

// BatchAllotment is a daemon's part of the places that all servers together have for batch items:
// of Total parts those from Offset on, Size of them. Daemons whose parts don't overlap don't take
// the same places, but that each has one place at least.
type BatchAllotment struct {
	Offset, Size, Total int
	// ItemTokens is how many tokens an item takes of a server's memory, on average over what all
	// daemons have to run; 0: unknown.
	ItemTokens int
	// Connections are the daemons that share the servers' connections: a daemon runs no more items on a
	// server than it has connections there. The zero value is no limit.
	Connections connections.DaemonCounts
}

// of are the places in the allotment.
func (a BatchAllotment) of(places []string) []string {
	if len(places) == 0 || a.Total <= 0 {
		return places
	}
	first := min(a.Offset*len(places)/a.Total, len(places)-1)
	end := (a.Offset + a.Size) * len(places) / a.Total
	return places[first:min(max(end, first+1), len(places))]
}

// batchPlaces are the places for batch items of all servers.
type batchPlaces struct {
	inOrder    []string       // servers' names, once for each place
	byServer   map[string]int // how many a server has
	ownLimits  map[string]int // how many of them are this daemon's; nil: all
	elsewhere  map[string]int // items of other daemons that run there, as far as known
	itemTokens int            // of an item, on average; 0: unknown
	// connections are the daemons that share the servers' connections.
	connections connections.DaemonCounts
	// itemDuration is the moving average of how long a batch item runs.
	itemDuration clock.Micros
}

// SetBatchAllotment says which part of the servers' places for batch items is this daemon's.
func (sc *Scheduler) SetBatchAllotment(allotment BatchAllotment) {
	sc.batch.itemTokens = allotment.ItemTokens
	sc.batch.connections = allotment.Connections
	sc.listBatchPlaces()
	sc.batch.ownLimits = map[string]int{}
	for _, name := range sc.ownPlaces(allotment) {
		sc.batch.ownLimits[name]++
	}
	for name, limit := range sc.batch.ownLimits {
		sc.batch.ownLimits[name] = min(limit, sc.connectionLimit(sc.servers[name].server))
	}
	sc.changed = true
}

// connectionLimit is how many connections to a known server a store may have.
func (sc *Scheduler) connectionLimit(server endpoints.Server) int {
	total := sc.servers[server.Name].maxConnections
	if total == 0 || sc.batch.connections == (connections.DaemonCounts{}) || sc.Disables(mechanism.BatchConnections) {
		return math.MaxInt
	}
	return sc.batch.connections.LimitFor(membership.Store, total, server.Slots)
}

func (sc *Scheduler) ownPlaces(allotment BatchAllotment) []string {
	if sc.Disables(mechanism.BatchShares) {
		return sc.batch.inOrder
	}
	return allotment.of(sc.batch.inOrder)
}

// SetOtherBatchItems says how many batch items of other daemons run on the servers, by their names.
func (sc *Scheduler) SetOtherBatchItems(byServer map[string]int) {
	sc.batch.elsewhere = byServer
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

// listBatchPlaces lists the places for batch items of all servers. Every daemon lists them in the
// same order: zone by zone, and in a zone first one place of each server, then a second one of each,
// and so on. So a daemon's places are on as many servers as possible, in as few zones as possible.
// Where a store has fewer connections to a server than that has places, the zones are passed through with as
// many places of each server at a time: a part of the list would have more on a server than its store can use there.
func (sc *Scheduler) listBatchPlaces() {
	servers := sc.sortedServers()
	sc.batch.byServer = sc.placesByServer(servers)
	sc.batch.inOrder = sc.batch.inOrder[:0]
	for pass := 0; ; pass++ {
		before := len(sc.batch.inOrder)
		for from := 0; from < len(servers); {
			to := from
			for to < len(servers) && servers[to].Labels[endpoints.LabelZone] == servers[from].Labels[endpoints.LabelZone] {
				to++
			}
			sc.listPlacesInTurn(servers[from:to], pass)
			from = to
		}
		if len(sc.batch.inOrder) == before {
			return
		}
	}
}

// sortedServers are the servers that may have places, in the order of their zones and names.
func (sc *Scheduler) sortedServers() []endpoints.Server {
	servers := make([]endpoints.Server, 0, len(sc.servers))
	for _, s := range sc.servers {
		if !s.server.Removed && !s.server.Draining {
			servers = append(servers, s.server)
		}
	}
	slices.SortFunc(servers, func(a, b endpoints.Server) int {
		return cmp.Or(cmp.Compare(a.Labels[endpoints.LabelZone], b.Labels[endpoints.LabelZone]), cmp.Compare(a.Name, b.Name))
	})
	return servers
}

// placesByServer is how many places each server has. Their exact number needs not be whole: then some
// servers have one more than others, so that all together have as many as they should.
func (sc *Scheduler) placesByServer(servers []endpoints.Server) map[string]int {
	out := make(map[string]int, len(servers))
	sum, counted := 0.0, 0
	for _, server := range servers {
		sum += max(1, sc.batchCapacity(server))
		count := int(math.Round(sum)) - counted
		counted += count
		out[server.Name] = count
	}
	return out
}

// listPlacesInTurn lists the places that some servers have in a pass, one of each in turn.
func (sc *Scheduler) listPlacesInTurn(servers []endpoints.Server, pass int) {
	left := make([]int, len(servers))
	for i, server := range servers {
		left[i] = placesInPass(sc.batch.byServer[server.Name], sc.connectionLimit(server), pass)
	}
	for rank := 0; ; rank++ {
		before := len(sc.batch.inOrder)
		for i, server := range servers {
			if rank < left[i] {
				sc.batch.inOrder = append(sc.batch.inOrder, server.Name)
			}
		}
		if len(sc.batch.inOrder) == before {
			return
		}
	}
}

// placesInPass is how many of a server's places are in a pass that has so many at most.
func placesInPass(places, perPass, pass int) int {
	perPass = max(1, min(perPass, places))
	return max(0, min(perPass, places-pass*perPass))
}

// batchCapacity is how many batch items of all daemons a server may run, by its slots and by its
// memory.
func (sc *Scheduler) batchCapacity(server endpoints.Server) float64 {
	bySlots := sc.settings.MinUtilizationLimit * float64(server.Slots)
	memory := int64(0)
	if sc.configuration != nil {
		memory = sc.configuration.MemoryTokens(server.Labels)
	}
	if memory == 0 || sc.batch.itemTokens == 0 || sc.Disables(mechanism.BatchMemory) {
		return bySlots
	}
	return min(bySlots, sc.settings.BatchMemoryShare*float64(memory)/float64(sc.batch.itemTokens))
}

// batchLimit is how many batch items this daemon may have on a server: as many as it has places
// there, and with what others have there no more than the server may run.
func (sc *Scheduler) batchLimit(server endpoints.Server) int {
	if sc.batch.ownLimits == nil {
		return max(1, int(math.Round(sc.batchCapacity(server))))
	}
	return min(sc.freeBatchPlaces(server), sc.batch.ownLimits[server.Name])
}

// freeBatchPlaces is how many places for batch items of a server other daemons don't use, whosever part
// they are. An item that can't run on some servers goes by it: this daemon's part may be on just those,
// and the item would wait for as long as the parts stay as they are.
func (sc *Scheduler) freeBatchPlaces(server endpoints.Server) int {
	if sc.batch.ownLimits == nil {
		return sc.batchLimit(server)
	}
	free := sc.batch.byServer[server.Name]
	if !sc.Disables(mechanism.BatchRunning) {
		free -= sc.batch.elsewhere[server.Name]
	}
	return max(0, free)
}
