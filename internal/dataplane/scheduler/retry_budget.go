package scheduler

// The retry budget bounds the load that retries add. It is a token bucket that assignments
// fill and retries drain (as in Finagle's RetryBudget, and gRPC's retry throttling, gRFC A6).
// When every server fails, retries are limited to a fifth of the regular load instead of
// multiplying it.
const (
	retriesPerAssignment = 0.2
	maxRetryBudget       = 50.0 // capacity of the token bucket, in retries
)

type retryBudget struct{ balance float64 }

func newRetryBudget() retryBudget { return retryBudget{balance: maxRetryBudget} }

// refill is called for each assignment.
func (b *retryBudget) refill() { b.balance = min(maxRetryBudget, b.balance+retriesPerAssignment) }

// spend takes one retry from the budget, and returns false if it is exhausted.
func (b *retryBudget) spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
