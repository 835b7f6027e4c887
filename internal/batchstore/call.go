package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Call is a request of another daemon; the reply carries its number. Each type of request
// has its handler in a file of its own.
type Call struct {
	Number uint64
	Body   any // one of the requests in messages.go
}

// Apply serves the request. It replies now, or once what it wrote is durable.
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

// replyOnceDurable replies once every entry of the shard so far is durable; now if they all
// are. At the deadline the outcome is unknown to the caller.
func (s *Store) replyOnceDurable(served servedShard, call pendingCall) {
	if served.group.Unconfirmed() == 0 {
		s.reply(call.number, call.response)
		return
	}
	s.pendingCalls.add(served.group.Unit, served.group.Seq, call)
}

// replyUnknownOutcome replies to a call whose entry may or may not become durable.
func (s *Store) replyUnknownOutcome(call pendingCall, reason string) {
	s.UnknownOutcomes++
	s.replyError(call.number, errUnknownOutcome(reason))
}

// servedShard is a shard for which this store may answer.
type servedShard struct {
	*localShard
	group *replication.Group
}

// requireServing returns a shard of which this store is the primary under a valid lease.
// Without one another store may be the primary already: this one would deny batches that
// its successor has accepted (docs/DESIGN.md §6.8).
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

// requireServingAtEpoch is requireServing at a reader's epoch. A reader at another epoch knows other
// ends of former writers' results, and would miss some.
func (s *Store) requireServingAtEpoch(shardIndex int, epoch uint64, now clock.Micros) (servedShard, error) {
	served, err := s.requireServing(shardIndex, now)
	if err == nil && served.group.Epoch != epoch {
		return servedShard{}, errStaleEpoch(shardIndex, served.group.Epoch, epoch)
	}
	return served, err
}
