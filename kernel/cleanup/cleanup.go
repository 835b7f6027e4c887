// Package cleanup keeps a stack of clean-ups that run in reverse (DESIGN §2).
package cleanup

import "sync"

// Stack holds clean-ups; the zero value is ready.
type Stack struct {
	mu   sync.Mutex
	fns  []func()
	done bool
}

// Push adds a clean-up. On a stack that has run, it runs at once.
func (s *Stack) Push(fn func()) {
	s.mu.Lock()
	if !s.done {
		s.fns = append(s.fns, fn)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	fn()
}

// Run runs every clean-up, last first, once.
func (s *Stack) Run() {
	s.mu.Lock()
	fns := s.fns
	s.fns, s.done = nil, true
	s.mu.Unlock()
	for i := len(fns) - 1; i >= 0; i-- {
		fns[i]()
	}
}
