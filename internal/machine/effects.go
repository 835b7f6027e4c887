package machine

// Reply answers a call that came in with a call number: Body, or Err where it is set. The event
// loop hands it to whoever waits for that number; where nobody does any more it is dropped. It has
// no answer.
type Reply struct {
	Call uint64
	Body any
	Err  error
}

// Execute asks the request path to run a task, which is of a type of the package that emits it
// (an item of a batch, a call to a model server). The daemon's executor (internal/daemon/effects)
// runs it and reports its progress as calls of the machine.
type Execute struct{ Task any }

// Halt ends the daemon with a message: going on would violate a guarantee. Nothing is executed
// after it.
type Halt struct{ Err error }

func (Reply) effect()    {}
func (Execute) effect()  {}
func (Halt) effect()     {}
func (LogEvent) effect() {}
