package modelcheck

import (
	"slices"

	"tuliprudder/internal/controlplane"
)

// confirmation is a document that an operator or the daemons were told is in force.
type confirmation struct {
	number  uint64
	body    string
	request int    // index in operatorRequests, or -1
	epoch   uint64 // in which it was confirmed
}

// conflictsOnBase reports whether two confirmed requests name the same base.
func (c confirmation) conflictsOnBase(other confirmation) bool {
	if c.request < 0 || other.request < 0 {
		return false
	}
	one, two := operatorRequests[c.request], operatorRequests[other.request]
	return one.HasBase && two.HasBase && one.Base == two.Base
}

// isIn reports whether a core's state has the document; the body of an old version may have been
// removed by compaction.
func (c confirmation) isIn(core *controlplane.Core) bool {
	version, ok := core.State().Version(c.number)
	return ok && (len(version.Body) == 0 || string(version.Body) == c.body)
}

// grant is a durable vote: the term, the voter, and the candidate it voted for.
type grant struct {
	term             uint64
	voter, candidate string
}

// history is what was confirmed and granted so far, and which identities were lost. It is part of
// the state, because the properties compare the current state with it.
type history struct {
	confirmed      []confirmation
	calledRequests []int    // request index of each call, by call number minus one
	lost           []string // wiped identities that the fleet may still depend on
	wiped          []string // all wiped identities
	grants         []grant
	newVoters      []string // identities that got a vote after the bootstrap
	fleet          string   // ID of the fleet, as the latest lease holder has it
	bootstrapped   bool     // some process has held the lease
}

func (h history) clone() history {
	next := h
	next.confirmed = slices.Clip(h.confirmed)
	next.calledRequests = slices.Clip(h.calledRequests)
	next.lost = slices.Clip(h.lost)
	next.wiped = slices.Clip(h.wiped)
	next.grants = slices.Clip(h.grants)
	next.newVoters = slices.Clip(h.newVoters)
	return next
}

// recordCall records a call for a request and returns the call's number.
func (h *history) recordCall(request int) uint64 {
	h.calledRequests = append(h.calledRequests, request)
	return uint64(len(h.calledRequests))
}

func (h *history) newestConfirmed() uint64 {
	newest := uint64(0)
	for _, c := range h.confirmed {
		newest = max(newest, c.number)
	}
	return newest
}

func (h *history) isConfirmed(request int) bool {
	return slices.ContainsFunc(h.confirmed, func(c confirmation) bool { return c.request == request })
}
