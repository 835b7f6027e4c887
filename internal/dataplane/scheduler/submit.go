package scheduler

import "tuliprudder/internal/clock"

// Submit queues a request. An error means that it never will run, and that neither
// Start nor Drop will be called: errs.NotReady while the daemon drains, errs.Busy when
// the queue is full, errs.UnknownRoute when the configuration in force has no route for
// it.
func (sc *Scheduler) Submit(r *Request, now clock.Micros) error {
	if sc.closed {
		return errDraining()
	}
	if sc.queue.length >= sc.settings.MaxQueued {
		sc.Rejected++
		sc.countRejected(r, now)
		return errQueueFull(sc.RetryAfter(now))
	}
	if err := sc.applyConfiguration(r); err != nil {
		return err
	}
	if r.queuedAt == 0 { // a retry goes on with the time of its first attempt
		r.queuedAt = now
	}
	sc.queue.submit(r)
	sc.changed = true
	return nil
}

// Cancel takes a request out of the queue, without a call of Drop. It returns false
// when the request isn't queued: it has started, was dropped, or never was accepted.
func (sc *Scheduler) Cancel(r *Request) bool {
	if !r.isQueued() {
		return false
	}
	sc.queue.remove(r)
	return true
}

// Close drops what is queued and rejects what comes after.
func (sc *Scheduler) Close(now clock.Micros) {
	sc.closed = true
	for _, r := range sc.queue.removeAll() {
		r.Drop(errDraining(), now)
	}
}

// QueuedWeight is how much of a tenant's work is queued, by weight.
func (sc *Scheduler) QueuedWeight(tenant string) int { return sc.queue.weights[tenant] }

// QueueLength is how many requests are queued.
func (sc *Scheduler) QueueLength() int { return sc.queue.length }
