package requests

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

const (
	// commitAttemptTimeout is the time allowed for one store to commit an idempotent request. After it
	// the request is sent again to the shard's owner, which may be another store by then.
	commitAttemptTimeout = clock.Second
	// maxCommitAttempts is the maximum number of attempts, including the first.
	maxCommitAttempts = 4
)

// commitCall is an idempotent request that a store has to commit: the submission or the end of a
// batch. If it has a deadline, it is sent again until then as long as its outcome is unknown.
// Otherwise it is sent once, because the response to callers with an API key states whether the shard
// already had the batch, which can't be determined after a second attempt.
type commitCall struct {
	id         string // of the batch
	newRequest func(shardIndex int, timeout clock.Micros) any
	deadline   clock.Micros
	callback   machine.Callback

	attempts, maxAttempts int
	// mayBeCommitted is set once an attempt may have been committed. Rejections are then no longer
	// passed on, as they would tell the caller that nothing was committed.
	mayBeCommitted bool
}

// commit sends a request to the owner of its batch's shard. The callback is called once, no later than
// the deadline and no later than commitCallTimeout from now; a deadline of 0 means the latter.
func (m *Machine) commit(c *commitCall, now clock.Micros) {
	latest := now + m.commitCallTimeout()
	c.maxAttempts = maxCommitAttempts
	if c.deadline == 0 {
		c.maxAttempts = 1
	}
	if c.deadline == 0 || c.deadline > latest {
		c.deadline = latest
	}
	m.sendCommit(c, now)
}

// sendCommit makes one attempt and repeats it while the outcome is unknown.
func (m *Machine) sendCommit(c *commitCall, now clock.Micros) {
	remaining := c.deadline - now
	if remaining <= 0 {
		c.finish(nil, errs.New(errs.DeadlineExceeded, "retry with a later deadline", "the deadline of the request has passed"), now)
		return
	}
	c.attempts++
	timeout := remaining
	if c.attempts < c.maxAttempts {
		timeout = min(remaining, commitAttemptTimeout)
	}
	newRequest := func(shardIndex int) any { return c.newRequest(shardIndex, storeTimeout(timeout)) }
	m.callStore(c.id, newRequest, timeout, now, func(body any, err error, now clock.Micros) {
		isUnknown := errs.Is(err, errs.OutcomeUnknown)
		c.mayBeCommitted = c.mayBeCommitted || isUnknown
		if isUnknown && c.attempts < c.maxAttempts && now < c.deadline {
			m.sendCommit(c, now)
			return
		}
		c.finish(body, err, now)
	})
}

// storeTimeout returns the time after which the store replies that the outcome is unknown. It is
// shorter than the call's timeout, so that the reply arrives in time.
func storeTimeout(callTimeout clock.Micros) clock.Micros { return callTimeout * 3 / 4 }

// finish passes the outcome to the callback.
func (c *commitCall) finish(body any, err error, now clock.Micros) {
	if err != nil && c.mayBeCommitted && !errs.Is(err, errs.OutcomeUnknown) {
		err = errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "send the request again unchanged", "one store may have accepted the request, but another rejected it: %v", err)
	}
	c.callback(body, err, now)
}
