// Package decisiondigest hashes the decisions of state machines into one digest. The simulator
// (test/simulator) and the model checker (test/modelcheck) store the digests of runs with fixed
// seeds in their testdata. Renaming identifiers, moving types to other packages and rewording log
// messages do not change a digest; a different decision, message, durable write or order of effects
// does.
//
// The digest covers the kind of an effect (effects.go) and its values (encoder.go). Three changes are
// detected although they may not affect decisions: reordering a message's fields, adding or removing
// a field, and a different spelling inside a stored or sent document. The last must be detected,
// because neighbouring releases read these documents. A renamed message type or field is not
// detected, although daemons use these names on the wire.
package decisiondigest

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"reflect"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// CheckpointEvery is the number of effects between checkpoints.
const CheckpointEvery = 1000

// Sizes in bytes. Checkpoints are short, as they only narrow down where two runs start to differ.
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
	// Trace, if not nil, receives each effect.
	Trace func(Step)
}

// Step is one effect that was added to a digest.
type Step struct {
	Number int // from 1
	At     clock.Micros
	Node   int
	Hash   string // of the effect alone
	Effect machine.Effect
}

// New returns the digest of a run without effects.
func New() *Digest { return &Digest{hash: sha256.New(), encoder: newEncoder(explanatoryFields())} }

// Add adds one effect to the digest: when it was decided, by which node, and its values. Log events
// are skipped.
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

// Effects returns the number of effects added so far.
func (d *Digest) Effects() int { return d.effects }

// Sum returns the digest of all effects so far, in hexadecimal.
func (d *Digest) Sum() string { return d.sum(digestSize) }

// Checkpoints returns the first digits of Sum after every CheckpointEvery effects.
func (d *Digest) Checkpoints() []string { return d.checkpoints }

func (d *Digest) sum(size int) string { return hex.EncodeToString(d.hash.Sum(nil)[:size]) }
