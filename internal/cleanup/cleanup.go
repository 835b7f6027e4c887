// Package cleanup provides the stack of clean-up functions that a daemon's parts push as they start,
// and that run in reverse order when the daemon stops (docs/DESIGN.md, section 2).
package cleanup

import "sync"

// Stack is a stack of clean-up functions; the zero value is ready. Its methods may be called from
// any goroutine.
type Stack struct {
	mu        sync.Mutex // guards the fields below; it is not held while a function runs
	functions []func()
	done      bool
}

// Push adds a function. If the stack has already run, the function is called at once, so that what
// was started late is cleaned up too.
func (s *Stack) Push(function func()) {
	if !s.add(function) {
		function()
	}
}

func (s *Stack) add(function func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		s.functions = append(s.functions, function)
	}
	return !s.done
}

// Run calls every function once, the last one first. A second Run does nothing.
func (s *Stack) Run() {
	functions := s.take()
	for i := len(functions) - 1; i >= 0; i-- {
		functions[i]()
	}
}

func (s *Stack) take() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	functions := s.functions
	s.functions = nil
	s.done = true
	return functions
}
