package main

import (
	"container/heap"
	"context"
	"sync"
)

// line is who waits for a slot: the lowest priority number first, then the one
// that came first, as the servers' published scheduling by priority has it.
type line struct {
	mu      sync.Mutex
	free    int
	waiting places
	count   int
}

type place struct {
	priority, came, at int
	turn               chan struct{}
}

type places []*place

func (p places) Len() int { return len(p) }
func (p places) Less(i, j int) bool {
	if p[i].priority != p[j].priority {
		return p[i].priority < p[j].priority
	}
	return p[i].came < p[j].came
}
func (p places) Swap(i, j int) { p[i], p[j] = p[j], p[i]; p[i].at, p[j].at = i, j }
func (p *places) Push(x any) {
	one := x.(*place)
	one.at = len(*p)
	*p = append(*p, one)
}
func (p *places) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	last.at = -1
	return last
}

func newLine(slots int) *line { return &line{free: slots} }

// enter waits for a slot; false when the caller left first.
func (l *line) enter(ctx context.Context, priority int) bool {
	l.mu.Lock()
	if l.free > 0 {
		l.free--
		l.mu.Unlock()
		return true
	}
	l.count++
	mine := &place{priority: priority, came: l.count, turn: make(chan struct{})}
	heap.Push(&l.waiting, mine)
	l.mu.Unlock()
	select {
	case <-mine.turn:
		return true
	case <-ctx.Done():
	}
	l.mu.Lock()
	if mine.at >= 0 {
		heap.Remove(&l.waiting, mine.at)
		l.mu.Unlock()
		return false
	}
	l.mu.Unlock()
	l.leave() // the slot came at the same moment: pass it on
	return false
}

// leave gives a slot to the next in line.
func (l *line) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.free++
		return
	}
	close(heap.Pop(&l.waiting).(*place).turn)
}
