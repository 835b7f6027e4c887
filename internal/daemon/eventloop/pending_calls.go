package eventloop

import (
	"sync"

	"tuliprudder/internal/machine"
)

// pendingCalls holds who waits for the reply to a call of a state machine.
type pendingCalls struct {
	mu sync.Mutex
	// lastNumber is the number of the latest call; numbers are not used twice. mu guards it
	// and waiting.
	lastNumber uint64
	waiting    map[uint64]chan machine.Reply // by call number
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{waiting: map[uint64]chan machine.Reply{}}
}

// open numbers a call and gives the channel on which its one reply comes. The caller takes
// the reply, or abandons the call.
func (p *pendingCalls) open() (number uint64, reply <-chan machine.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	waiting := make(chan machine.Reply, 1)
	p.waiting[p.lastNumber] = waiting
	return p.lastNumber, waiting
}

// openUnawaited numbers a call whose reply nobody takes.
func (p *pendingCalls) openUnawaited() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// abandon ends the wait for a reply; one that comes later is dropped.
func (p *pendingCalls) abandon(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

// complete hands a reply to who waits for it. It does not block: the channel has room for
// the one reply that it gets.
func (p *pendingCalls) complete(reply machine.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting, ok := p.waiting[reply.Call]; ok {
		delete(p.waiting, reply.Call)
		waiting <- reply
	}
}
