package machine

// Reply answers the incoming call with the number Call: with Err if it is set, otherwise with Body.
// The event loop passes it to the goroutine that waits for that number; if none waits any more, the
// reply is dropped. It has no answer.
type Reply struct {
	Call uint64
	Body any
	Err  error
}

// Execute asks the request path to run a task. The task's type belongs to the package that emits it
// (an item of a batch, a call to a model server). The daemon's executor (internal/daemon/effects)
// runs it and reports its progress as calls of the machine.
type Execute struct{ Task any }

// Halt stops the daemon with an error, because continuing would violate a guarantee. No effect after
// it is executed.
type Halt struct{ Err error }

func (Reply) effect()    {}
func (Execute) effect()  {}
func (Halt) effect()     {}
func (LogEvent) effect() {}
