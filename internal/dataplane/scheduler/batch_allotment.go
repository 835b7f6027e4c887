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

// BatchAllotment is a daemon's share of the batch slots of all servers. A batch slot is the capacity
// to run one batch item on a server. Of Total equal parts of the list of batch slots, the daemon has
// Size parts beginning at Offset. Daemons whose parts don't overlap don't use the same slots, except
// that each daemon has at least one slot.
type BatchAllotment struct {
	Offset, Size, Total int
	// ItemTokens is the average number of tokens of a server's memory that an item uses, over the
	// items that all daemons have to run; 0: unknown.
	ItemTokens int
	// Connections counts the daemons that share the servers' connections. A daemon runs no more items
	// on a server than it may have connections there. The zero value means no limit.
	Connections connections.DaemonCounts
}

// selectSlots returns the slots that belong to the allotment.
func (a BatchAllotment) selectSlots(slots []string) []string {
	if len(slots) == 0 || a.Total <= 0 {
		return slots
	}
	first := min(a.Offset*len(slots)/a.Total, len(slots)-1)
	end := (a.Offset + a.Size) * len(slots) / a.Total
	return slots[first:min(max(end, first+1), len(slots))]
}

// batchState is what a scheduler knows of the batch slots of all servers.
type batchState struct {
	sequence   []string       // server names, one entry per batch slot, in an order that all daemons share
	byServer   map[string]int // number of batch slots by server
	ownLimits  map[string]int // number of them that are this daemon's, by server; nil: all
	otherItems map[string]int // known running items of other daemons, by server
	itemTokens int            // average per item; 0: unknown
	// connections counts the daemons that share the servers' connections.
	connections connections.DaemonCounts
	// itemDuration is the moving average of a batch item's duration.
	itemDuration clock.Micros
}

// SetBatchAllotment sets this daemon's share of the servers' batch slots.
func (sc *Scheduler) SetBatchAllotment(allotment BatchAllotment) {
	sc.batch.itemTokens = allotment.ItemTokens
	sc.batch.connections = allotment.Connections
	sc.listBatchSlots()
	sc.batch.ownLimits = map[string]int{}
	for _, name := range sc.ownSlots(allotment) {
		sc.batch.ownLimits[name]++
	}
	for name, limit := range sc.batch.ownLimits {
		sc.batch.ownLimits[name] = min(limit, sc.connectionLimit(sc.servers[name].server))
	}
	sc.changed = true
}

// connectionLimit returns how many connections a store may have to a server, which must be known.
func (sc *Scheduler) connectionLimit(server endpoints.Server) int {
	total := sc.servers[server.Name].maxConnections
	if total == 0 || sc.batch.connections == (connections.DaemonCounts{}) || sc.IsDisabled(mechanism.BatchConnections) {
		return math.MaxInt
	}
	return sc.batch.connections.LimitFor(membership.Store, total, server.Slots)
}

func (sc *Scheduler) ownSlots(allotment BatchAllotment) []string {
	if sc.IsDisabled(mechanism.BatchShares) {
		return sc.batch.sequence
	}
	return allotment.selectSlots(sc.batch.sequence)
}

// SetOtherBatchItems sets the numbers of other daemons' running batch items, by server name.
func (sc *Scheduler) SetOtherBatchItems(byServer map[string]int) {
	sc.batch.otherItems = byServer
	sc.changed = true
}

// RunningBatchItems returns the numbers of this daemon's running batch items, by server name.
func (sc *Scheduler) RunningBatchItems() map[string]int {
	out := map[string]int{}
	for name, s := range sc.servers {
		if s.runningBatchItems > 0 {
			out[name] = s.runningBatchItems
		}
	}
	return out
}

// listBatchSlots lists the batch slots of all servers. Every daemon lists them in the same order:
// zone by zone, and within a zone first one slot of each server, then a second one of each, and so
// on. So a daemon's slots are on as many servers as possible, in as few zones as possible.
// If a store may have fewer connections to a server than the server has batch slots, the zones are
// listed in several passes, each with at most that many slots per server. In a single pass a store's
// share could have more slots on a server than the store has connections to use them.
func (sc *Scheduler) listBatchSlots() {
	servers := sc.sortedServers()
	sc.batch.byServer = sc.slotsByServer(servers)
	sc.batch.sequence = sc.batch.sequence[:0]
	for pass := 0; ; pass++ {
		before := len(sc.batch.sequence)
		for from := 0; from < len(servers); {
			to := from
			for to < len(servers) && servers[to].Labels[endpoints.LabelZone] == servers[from].Labels[endpoints.LabelZone] {
				to++
			}
			sc.interleaveSlots(servers[from:to], pass)
			from = to
		}
		if len(sc.batch.sequence) == before {
			return
		}
	}
}

// sortedServers returns the servers that may have batch slots, sorted by zone and name.
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

// slotsByServer returns the number of batch slots of each server. A server's capacity may be
// fractional. The fractions are carried over from server to server, so that the total is right and
// some servers have one slot more than others.
func (sc *Scheduler) slotsByServer(servers []endpoints.Server) map[string]int {
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

// interleaveSlots appends the batch slots that these servers have in a pass, alternating between servers.
func (sc *Scheduler) interleaveSlots(servers []endpoints.Server, pass int) {
	counts := make([]int, len(servers))
	for i, server := range servers {
		counts[i] = slotsInPass(sc.batch.byServer[server.Name], sc.connectionLimit(server), pass)
	}
	for rank := 0; ; rank++ {
		before := len(sc.batch.sequence)
		for i, server := range servers {
			if rank < counts[i] {
				sc.batch.sequence = append(sc.batch.sequence, server.Name)
			}
		}
		if len(sc.batch.sequence) == before {
			return
		}
	}
}

// slotsInPass returns how many of a server's batch slots are listed in a pass of at most perPass slots per server.
func slotsInPass(slots, perPass, pass int) int {
	perPass = max(1, min(perPass, slots))
	return max(0, min(perPass, slots-pass*perPass))
}

// batchCapacity returns how many batch items of all daemons a server may run, limited by its
// request slots and its memory.
func (sc *Scheduler) batchCapacity(server endpoints.Server) float64 {
	bySlots := sc.settings.MinUtilizationLimit * float64(server.Slots)
	memory := int64(0)
	if sc.configuration != nil {
		memory = sc.configuration.MemoryTokens(server.Labels)
	}
	if memory == 0 || sc.batch.itemTokens == 0 || sc.IsDisabled(mechanism.BatchMemory) {
		return bySlots
	}
	return min(bySlots, sc.settings.BatchMemoryShare*float64(memory)/float64(sc.batch.itemTokens))
}

// batchLimit returns how many batch items this daemon may run on a server: at most its own batch
// slots there, and at most those that other daemons don't use.
func (sc *Scheduler) batchLimit(server endpoints.Server) int {
	if sc.batch.ownLimits == nil {
		return max(1, int(math.Round(sc.batchCapacity(server))))
	}
	return min(sc.freeBatchSlots(server), sc.batch.ownLimits[server.Name])
}

// freeBatchSlots returns how many of a server's batch slots other daemons don't use, whichever daemon's
// share they belong to. It limits items that can't run on some servers: this daemon's share may consist of
// just those servers, and the item would wait until the shares change.
func (sc *Scheduler) freeBatchSlots(server endpoints.Server) int {
	if sc.batch.ownLimits == nil {
		return sc.batchLimit(server)
	}
	free := sc.batch.byServer[server.Name]
	if !sc.IsDisabled(mechanism.BatchRunning) {
		free -= sc.batch.otherItems[server.Name]
	}
	return max(0, free)
}
