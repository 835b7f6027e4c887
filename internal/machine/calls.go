package machine

import "tuliprudder/internal/clock"

// Request asks a daemon by its address; the event loop answers with Answered{Token} once: the
// answer, or an error when the deadline passed.
type Request struct {
	Token   uint64
	To      string
	Body    any
	Timeout clock.Micros
}

// Freshness tells a daemon's other machines up to when its updates are complete: it has
// received what a majority of the voters knew then.
type Freshness struct{ At clock.Micros }

// Broadcast hands an update to the gossip node; the call is answered once a majority
// of the voters know it, or with errs.OutcomeUnknown when the deadline passed.
type Broadcast struct {
	Update  Update
	Call    uint64
	Body    any
	Timeout clock.Micros
}

func (Broadcast) effect() {}
func (Request) effect()   {}
func (Freshness) effect() {}

// Callback takes the answer of another daemon.
type Callback func(body any, err error, now clock.Micros)

// Calls is where the parts of one daemon's machine put their effects, and where
// they wait for the answers of other daemons.
type Calls struct {
	Effects
	lastToken uint64
	pending   map[uint64]Callback
}

// NewCalls makes an empty wire.
func NewCalls() *Calls { return &Calls{pending: map[uint64]Callback{}} }

// Token returns a number that was not returned before.
func (w *Calls) Token() uint64 {
	w.lastToken++
	return w.lastToken
}

// Request asks another daemon; back is called once.
func (w *Calls) Request(to string, body any, deadline clock.Micros, back Callback) {
	token := w.Token()
	w.pending[token] = back
	w.Emit(Request{Token: token, To: to, Body: body, Timeout: deadline})
}

// ReplyReceived calls the callback of a request; a second answer is dropped.
func (w *Calls) ReplyReceived(token uint64, body any, err error, now clock.Micros) {
	if back := w.pending[token]; back != nil {
		delete(w.pending, token)
		back(body, err, now)
	}
}

// Pending is how many answers are still to come.
func (w *Calls) Pending() int { return len(w.pending) }
