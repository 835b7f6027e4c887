// Package decisiondigest condenses what state machines decided into one number. The simulator
// (test/simulator) and the model checker (test/modelcheck) keep the digests of fixed seeds in
// their testdata. Other names, other packages of types and other texts in the log leave a
// digest as it is; another decision, message, durable write or order of effects changes it.
//
// What counts of an effect is its kind (effects.go) and its values (encoder.go). Three changes
// are detected although they may decide nothing: another order of a message's fields, a field
// more or less, and another spelling inside a stored or sent document. The last has to be
// detected, as neighbouring releases read these documents. What is not detected is the name of
// a message's type or field, which daemons use on the wire as well.
package decisiondigest

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"reflect"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// CheckpointEvery is how many effects there are from one checkpoint to the next.
const CheckpointEvery = 1000

// Sizes in bytes. Checkpoints only narrow down where two runs begin to differ.
const (
	digestSize     = 16
	checkpointSize = 3
)

// Digest is a running hash over the effects of one run. It is not safe for concurrent
// use.
type Digest struct {
	hash        hash.Hash
	encoder     encoder
	effects     int
	checkpoints []string
	// Trace receives each effect, if it is set.
	Trace func(Step)
}

// Step is one effect as a digest counted it.
type Step struct {
	Number int // from 1
	At     clock.Micros
	Node   int
	Hash   string // of the effect alone
	Effect machine.Effect
}

// New makes the digest of a run that has had no effect yet.
func New() *Digest { return &Digest{hash: sha256.New(), encoder: newEncoder(explanatoryFields())} }

// Add adds one effect to the digest: when it was decided, by which node, and its values.
// Events for the log are skipped.
func (d *Digest) Add(at clock.Micros, node int, effect machine.Effect) {
	kind := kindOf(effect)
	if kind == logEvent {
		return
	}
	d.effects++
	d.encoder.out = d.encoder.out[:0]
	d.encoder.number(uint64(at))
	d.encoder.number(uint64(node))
	d.encoder.number(uint64(kind))
	d.encoder.value(reflect.ValueOf(effect), 0)
	d.hash.Write(d.encoder.out)
	if d.Trace != nil {
		sum := sha256.Sum256(d.encoder.out)
		d.Trace(Step{Number: d.effects, At: at, Node: node, Hash: hex.EncodeToString(sum[:checkpointSize]), Effect: effect})
	}
	if d.effects%CheckpointEvery == 0 {
		d.checkpoints = append(d.checkpoints, d.sum(checkpointSize))
	}
}

// Effects is how many effects were added.
func (d *Digest) Effects() int { return d.effects }

// Sum is the digest of all effects so far, in hexadecimal.
func (d *Digest) Sum() string { return d.sum(digestSize) }

// Checkpoints are the first digits of what Sum was after each CheckpointEvery effects.
func (d *Digest) Checkpoints() []string { return d.checkpoints }

func (d *Digest) sum(size int) string { return hex.EncodeToString(d.hash.Sum(nil)[:size]) }
