package scheduler

// A retry budget bounds how much retries add to the load: a token bucket that
// assignments fill and retries empty (as in Finagle's RetryBudget, and gRPC's retry
// throttling, gRFC A6). When every server fails, retries stop at a fifth of the
// ordinary load instead of multiplying it.
const (
	retriesPerAssignment = 0.2
	maxRetryBudget       = 50.0 // retries that can be saved up
)

type retryBudget struct{ balance float64 }

func newRetryBudget() retryBudget { return retryBudget{balance: maxRetryBudget} }

// refill is called for each assignment.
func (b *retryBudget) refill() { b.balance = min(maxRetryBudget, b.balance+retriesPerAssignment) }

// spend takes one retry; false where there is none left.
func (b *retryBudget) spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
