package eventloop

import (
	"sync"

	"tuliprudder/internal/machine"
)

// pendingCalls maps the calls of a state machine to the callers that wait for their replies.
type pendingCalls struct {
	mu sync.Mutex
	// lastNumber is the number of the latest call; numbers are not reused. Guarded by mu, like
	// waiting.
	lastNumber uint64
	waiting    map[uint64]chan machine.Reply // by call number
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{waiting: map[uint64]chan machine.Reply{}}
}

// open assigns a number to a call and returns the channel on which its only reply arrives. The
// caller must take the reply or abandon the call.
func (p *pendingCalls) open() (number uint64, reply <-chan machine.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	waiting := make(chan machine.Reply, 1)
	p.waiting[p.lastNumber] = waiting
	return p.lastNumber, waiting
}

// openUnawaited assigns a number to a call whose reply is dropped.
func (p *pendingCalls) openUnawaited() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// abandon ends the wait for a reply; a reply that arrives later is dropped.
func (p *pendingCalls) abandon(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

// complete passes a reply to the caller that waits for it, if any. It does not block: the
// channel has room for the one reply that it gets.
func (p *pendingCalls) complete(reply machine.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting, ok := p.waiting[reply.Call]; ok {
		delete(p.waiting, reply.Call)
		waiting <- reply
	}
}
