package reader

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

const (
	// defaultMinPollInterval is the default of Reader.MinPollInterval.
	defaultMinPollInterval = 40 * clock.Millisecond
	// notReadyPollInterval is the delay before a pending read is polled again after an
	// errs.NotReady, for example because its shard had no owner: no announcement need follow a
	// shard's move.
	notReadyPollInterval = 100 * clock.Millisecond
)

// Time limits for a store's response to a poll. A pending read has a shorter initial time-out and
// polls again, as reading changes nothing and a lost message must not delay its results. Each
// consecutive failure doubles the next time-out, for stores that are slow.
const (
	maxPollTimeout      = 2 * clock.Second
	initialPollTimeout  = 400 * clock.Millisecond
	maxTimeoutDoublings = 3
	// maxReadOverrun limits how long after its deadline a read ends, with an error if the store
	// has not responded, so that callers wait little longer than the time they allow.
	maxReadOverrun = clock.Second
)

// pendingRead is a read in progress. It is polled until there is something to return or it no
// longer waits.
type pendingRead struct {
	Request
	callback    func(Page, error, clock.Micros)
	waits       bool         // if false, the next response ends the read
	deadline    clock.Micros // time until which it waits
	pollAt      clock.Micros // time of the next poll; 0 for none until wake is called
	polledAt    clock.Micros // time of the last poll
	inFlight    bool         // a poll is in flight
	failedPolls int          // consecutive failures
}

// pollTimeout returns the time limit for the store's response to a poll that begins now.
func (p *pendingRead) pollTimeout(now clock.Micros) clock.Micros {
	timeout := maxPollTimeout
	if p.waits {
		timeout = min(maxPollTimeout, initialPollTimeout<<min(p.failedPolls, maxTimeoutDoublings))
	}
	return min(timeout, p.deadline+maxReadOverrun-now)
}

// wake schedules the next poll of the read for as soon as minInterval allows.
func (p *pendingRead) wake(now, minInterval clock.Micros) {
	earliest := p.polledAt + minInterval
	if p.pollAt == 0 || p.pollAt > earliest {
		p.pollAt = max(now, earliest)
	}
}

// pendingReads holds the reads that wait.
type pendingReads struct {
	byID     map[string]*pendingRead
	arrivals []string // their IDs in order of arrival
}

func newPendingReads() pendingReads { return pendingReads{byID: map[string]*pendingRead{}} }

func (s *pendingReads) add(p *pendingRead) {
	s.byID[p.ID] = p
	s.arrivals = append(s.arrivals, p.ID)
}

func (s *pendingReads) remove(id string) {
	if s.byID[id] == nil {
		return
	}
	delete(s.byID, id)
	if i := slices.Index(s.arrivals, id); i >= 0 {
		s.arrivals = slices.Delete(s.arrivals, i, i+1)
	}
}

// inOrder returns the reads in order of arrival, as a copy: callbacks may change the pending
// reads while the caller iterates over them.
func (s *pendingReads) inOrder() []*pendingRead {
	out := make([]*pendingRead, 0, len(s.arrivals))
	for _, id := range s.arrivals {
		if p := s.byID[id]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// wakePending schedules a poll of every pending read, because more results may be readable.
func (r *Reader) wakePending(now clock.Micros) {
	if r.InjectedFaults.SkipWakeups {
		return
	}
	for _, p := range r.pending.inOrder() {
		p.wake(now, r.MinPollInterval)
	}
}

// pollDue polls the pending reads that are due. A read whose deadline has passed is polled one
// last time, so that its caller gets the results available by then.
func (r *Reader) pollDue(now clock.Micros) {
	for _, p := range r.pending.inOrder() {
		isPending := r.pending.byID[p.ID] == p
		switch {
		case !isPending || p.inFlight:
		case now >= p.deadline:
			r.endWait(p, now)
		case p.pollAt > 0 && now >= p.pollAt:
			r.poll(p, now)
		}
	}
}

// endWait ends a pending read with the next response: that of the poll in flight, or of a last one.
func (r *Reader) endWait(p *pendingRead, now clock.Micros) {
	r.pending.remove(p.ID)
	p.waits = false
	if !p.inFlight {
		r.poll(p, now)
	}
}

// poll fetches a page once. It then ends the read, or leaves it pending and may schedule the next
// poll.
func (r *Reader) poll(p *pendingRead, now clock.Micros) {
	p.inFlight = true
	p.pollAt = 0
	p.polledAt = now
	r.fetchPage(p.Request, p.pollTimeout(now), now, func(page Page, err error, now clock.Micros) {
		p.inFlight = false
		if err == nil {
			p.failedPolls = 0
		} else {
			p.failedPolls++
		}
		mayRetry := errs.Is(err, errs.NotReady)
		isFinal := err == nil && page.isReady() || err != nil && !mayRetry
		if isFinal || !p.waits || now >= p.deadline {
			r.pending.remove(p.ID)
			p.callback(page, err, now)
			return
		}
		switch {
		case mayRetry:
			p.pollAt = now + notReadyPollInterval
		case r.PollInterval > 0 && p.pollAt == 0 && p.BatchID != "":
			p.pollAt = now + r.PollInterval
		}
	})
}
