package scheduler

import "tuliprudder/internal/clock"

// Submit queues a request. If it returns an error the request will never run, and neither
// Start nor Drop will be called. The error is errs.NotReady while the daemon drains, errs.Busy
// if the queue is full, and errs.UnknownRoute if the configuration in force has no route for
// the request.
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
	if r.queuedAt == 0 { // a retry keeps the time of its first attempt
		r.queuedAt = now
	}
	sc.queue.submit(r)
	sc.changed = true
	return nil
}

// Cancel removes a request from the queue without calling Drop. It returns false if the request
// isn't queued: it has started, was dropped, or was never accepted.
func (sc *Scheduler) Cancel(r *Request) bool {
	if !r.isQueued() {
		return false
	}
	sc.queue.remove(r)
	return true
}

// Close drops all queued requests and makes Submit reject new ones.
func (sc *Scheduler) Close(now clock.Micros) {
	sc.closed = true
	for _, r := range sc.queue.removeAll() {
		r.Drop(errDraining(), now)
	}
}

// QueuedWeight returns the total weight of a tenant's queued requests.
func (sc *Scheduler) QueuedWeight(tenant string) int { return sc.queue.weights[tenant] }

// QueueLength returns the number of queued requests.
func (sc *Scheduler) QueueLength() int { return sc.queue.length }
