package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Call is a request from another daemon. The reply carries its number. The handlers of the request
// types are in separate files.
type Call struct {
	Number uint64
	Body   any // one of the requests in messages.go
}

// Apply serves the request. It replies immediately, or once the entries that it wrote are durable.
func (c Call) Apply(s *Store, now clock.Micros) {
	if s.rejectsWhileUnwritable(c) {
		return
	}
	switch request := c.Body.(type) {
	case SubmitRequest:
		s.submit(c.Number, request, now)
	case EndRequest:
		s.endBatch(c.Number, request, now)
	case BatchStatusRequest:
		s.replyBatchStatus(c.Number, request, now)
	case ReadRequest:
		s.readResults(c.Number, request, now)
	case ItemBodyRequest:
		s.replyItemBody(c.Number, request, now)
	case ClaimRequest:
		s.beginClaim(c.Number, request, now)
	case CompleteClaimRequest:
		s.completeClaim(c.Number, request, now)
	case StatusRequest:
		s.reply(c.Number, s.status())
	default:
		s.replyError(c.Number, errUnknownCall(c.Body))
	}
}

func (s *Store) reply(call uint64, response Response) {
	s.Emit(machine.Reply{Call: call, Body: response})
}

func (s *Store) replyError(call uint64, err error) {
	s.Emit(machine.Reply{Call: call, Err: err})
}

// replyOnceDurable replies once every entry appended to the shard so far is durable, which may be
// immediately. If the call's deadline passes first, it is answered with an unknown outcome.
func (s *Store) replyOnceDurable(served servedShard, call pendingCall) {
	if served.group.Unconfirmed() == 0 {
		s.reply(call.number, call.response)
		return
	}
	s.pendingCalls.add(served.group.Unit, served.group.Seq, call)
}

// replyUnknownOutcome answers a call whose entry may or may not become durable.
func (s *Store) replyUnknownOutcome(call pendingCall, reason string) {
	s.UnknownOutcomes++
	s.replyError(call.number, errUnknownOutcome(reason))
}

// servedShard is a shard that this store may serve: requireServing has checked its role and lease.
type servedShard struct {
	*localShard
	group *replication.Group
}

// requireServing returns a shard of which this store is the primary under a valid lease. Without
// a valid lease another store may already be the primary, and this one would report batches that its
// successor has accepted as not found (docs/DESIGN.md §6.8).
func (s *Store) requireServing(shardIndex int, now clock.Micros) (servedShard, error) {
	unit := Unit(shardIndex)
	group := s.groups.Group(unit)
	if group.Role != replication.Serving {
		return servedShard{}, errNotServing(s.self.ID, shardIndex, group.Role)
	}
	if now >= group.LeaseUntil() && !s.InjectedFaults.SkipLease {
		return servedShard{}, errNoLease(s.self.ID, shardIndex)
	}
	return servedShard{localShard: s.shard(unit), group: group}, nil
}

// requireServingAtEpoch is requireServing with a check of the reader's epoch. A reader at another epoch
// has different last positions of former writers and would miss some of their results.
func (s *Store) requireServingAtEpoch(shardIndex int, epoch uint64, now clock.Micros) (servedShard, error) {
	served, err := s.requireServing(shardIndex, now)
	if err == nil && served.group.Epoch != epoch {
		return servedShard{}, errStaleEpoch(shardIndex, served.group.Epoch, epoch)
	}
	return served, err
}
