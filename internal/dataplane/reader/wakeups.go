package reader

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

const (
	// defaultMinPollInterval is Reader.MinPollInterval where nothing else is set.
	defaultMinPollInterval = 40 * clock.Millisecond
	// notReadyPollInterval is how soon a read is polled again that found no store, as no
	// announcement need follow a shard's move.
	notReadyPollInterval = 100 * clock.Millisecond
)

// How long a store may take to answer a poll. A read that waits gives up sooner and polls
// again, as reading changes nothing and a lost message must not delay its results; each
// time-out in a row doubles the next one, for stores that are slow.
const (
	maxPollTimeout      = 2 * clock.Second
	initialPollTimeout  = 400 * clock.Millisecond
	maxTimeoutDoublings = 3
	// maxReadOverrun is how long after its deadline a read ends at the latest, with an error where
	// the store has not answered: callers wait little longer than they allow.
	maxReadOverrun = clock.Second
)

// pendingRead is a read under way. It is polled until there is something to return, or it
// no longer waits.
type pendingRead struct {
	Request
	callback    func(Page, error, clock.Micros)
	waits       bool         // false: the next response ends the read
	deadline    clock.Micros // until when it waits
	pollAt      clock.Micros // when it is polled next; 0: not before it is woken
	polledAt    clock.Micros // when it was polled last
	inFlight    bool         // a poll is under way
	failedPolls int          // in a row
}

// pollTimeout is how long the store may take to answer a poll that begins now.
func (p *pendingRead) pollTimeout(now clock.Micros) clock.Micros {
	timeout := maxPollTimeout
	if p.waits {
		timeout = min(maxPollTimeout, initialPollTimeout<<min(p.failedPolls, maxTimeoutDoublings))
	}
	return min(timeout, p.deadline+maxReadOverrun-now)
}

// wake has the read polled as soon as the interval allows.
func (p *pendingRead) wake(now, minInterval clock.Micros) {
	earliest := p.polledAt + minInterval
	if p.pollAt == 0 || p.pollAt > earliest {
		p.pollAt = max(now, earliest)
	}
}

// pendingReads are the reads that wait.
type pendingReads struct {
	byID     map[string]*pendingRead
	arrivals []string // their ids in the order in which they came
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

// inOrder lists the reads in the order in which they came. Callbacks may change the
// pending reads while the list is gone through.
func (s *pendingReads) inOrder() []*pendingRead {
	out := make([]*pendingRead, 0, len(s.arrivals))
	for _, id := range s.arrivals {
		if p := s.byID[id]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// wakePending has all pending reads polled soon, because more may be readable.
func (r *Reader) wakePending(now clock.Micros) {
	if r.InjectedFaults.SkipWakeups {
		return
	}
	for _, p := range r.pending.inOrder() {
		p.wake(now, r.MinPollInterval)
	}
}

// pollDue polls the pending reads that are due. One whose time is up is polled a last
// time, so that its caller gets what there is now.
func (r *Reader) pollDue(now clock.Micros) {
	for _, p := range r.pending.inOrder() {
		isPending := r.pending.byID[p.ID] == p
		switch {
		case !isPending || p.inFlight:
		case now >= p.deadline:
			r.pending.remove(p.ID)
			p.waits = false
			r.poll(p, now)
		case p.pollAt > 0 && now >= p.pollAt:
			r.poll(p, now)
		}
	}
}

// poll fetches a page once, and ends the read or has it wait on.
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
