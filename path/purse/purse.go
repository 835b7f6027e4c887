// Package purse watches how much of a customer's work waits (DESIGN §11).
package purse

import (
	"sync"

	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/sundial"
)

// Local counts at one daemon: each has an even part of the allowance.
type Local struct {
	mu     sync.Mutex
	taken  map[string]int
	Shares func() int // how many daemons share an allowance
}

// NewLocal makes a local purse.
func NewLocal(shares func() int) *Local { return &Local{taken: map[string]int{}, Shares: shares} }

// Take reserves waiting work; an error turns the order away.
func (l *Local) Take(customer string, allowance int64, count int) (func(), error) {
	part := max(1, int(allowance)/max(1, l.Shares()))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.taken[customer]+count > part && l.taken[customer] > 0 || int64(count) > allowance {
		return nil, mishap.Later(mishap.OverAllowance, 2*sundial.Second, "come back after the time given, or buy a larger allowance",
			"customer %s has %d waiting here; %d more are over its part of %d", customer, l.taken[customer], count, part)
	}
	l.taken[customer] += count
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			if l.taken[customer] -= count; l.taken[customer] <= 0 {
				delete(l.taken, customer)
			}
			l.mu.Unlock()
		})
	}, nil
}
