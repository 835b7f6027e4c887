package machine

import "tuliprudder/kernel/clock"

// Ask asks a daemon by its address; the event loop answers with Answered{Token} once: the
// answer, or an error when the expiry passed.
type Ask struct {
	Token  uint64
	To     string
	Body   any
	Expiry clock.Micros
}

// Fresh tells a daemon's other machines up to when its updates are complete: it has
// received what a majority of the voters knew then.
type Fresh struct{ At clock.Micros }

// Broadcast hands an update to the gossip node; the call is answered once a majority
// of the voters know it, or with errs.OutcomeUnknown when the expiry passed.
type Broadcast struct {
	Update Update
	Call   uint64
	Body   any
	Expiry clock.Micros
}

func (Broadcast) effect() {}
func (Ask) effect()       {}
func (Fresh) effect()     {}

// Callback takes the answer of another daemon.
type Callback func(body any, err error, now clock.Micros)

// Wire is where the parts of one daemon's machine put their effects, and where
// they wait for the answers of other daemons.
type Wire struct {
	Out
	last  uint64
	waits map[uint64]Callback
}

// NewWire makes an empty wire.
func NewWire() *Wire { return &Wire{waits: map[uint64]Callback{}} }

// Token returns a number that was not returned before.
func (w *Wire) Token() uint64 {
	w.last++
	return w.last
}

// Ask asks another daemon; back is called once.
func (w *Wire) Ask(to string, body any, expiry clock.Micros, back Callback) {
	token := w.Token()
	w.waits[token] = back
	w.Emit(Ask{Token: token, To: to, Body: body, Expiry: expiry})
}

// Answered calls the callback of a request; a second answer is dropped.
func (w *Wire) Answered(token uint64, body any, err error, now clock.Micros) {
	if back := w.waits[token]; back != nil {
		delete(w.waits, token)
		back(body, err, now)
	}
}

// Waiting is how many answers are still to come.
func (w *Wire) Waiting() int { return len(w.waits) }
