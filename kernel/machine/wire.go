package machine

import "tuliprudder/kernel/clock"

// Ask asks a daemon by its address; the shell answers with Told{Token} once: the
// answer, or an error when the expiry passed.
type Ask struct {
	Token  uint64
	To     string
	Body   any
	Expiry clock.Micros
}

// Fresh tells a daemon's other machines up to when its news are within reach.
type Fresh struct{ At clock.Micros }

// Spread hands news to the acquaintance; the call is answered once most of the
// fleet's roll know them, or told that it is not known whether they do.
type Spread struct {
	Rumour Rumour
	Call   uint64
	Body   any
	Expiry clock.Micros
}

func (Spread) effect() {}
func (Ask) effect()    {}
func (Fresh) effect()  {}

// Back takes an answer.
type Back func(body any, err error, now clock.Micros)

// Wire is where the parts of one daemon's machine put their effects, and where
// they wait for the answers of other daemons.
type Wire struct {
	Out
	last  uint64
	waits map[uint64]Back
}

// NewWire makes an empty wire.
func NewWire() *Wire { return &Wire{waits: map[uint64]Back{}} }

// Token is a number that was not given before.
func (w *Wire) Token() uint64 {
	w.last++
	return w.last
}

// Ask asks another daemon; back is told once.
func (w *Wire) Ask(to string, body any, expiry clock.Micros, back Back) {
	token := w.Token()
	w.waits[token] = back
	w.Emit(Ask{Token: token, To: to, Body: body, Expiry: expiry})
}

// Told hands an answer to who waits for it; a second one finds nobody.
func (w *Wire) Told(token uint64, body any, err error, now clock.Micros) {
	if back := w.waits[token]; back != nil {
		delete(w.waits, token)
		back(body, err, now)
	}
}

// Waiting is how many answers are still to come.
func (w *Wire) Waiting() int { return len(w.waits) }
