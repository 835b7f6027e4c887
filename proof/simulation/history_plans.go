package simulation

import (
	"hash/fnv"
	"math"

	"tuliprudder/core/state"
	"tuliprudder/membership/identity"

	"github.com/anishathalye/porcupine"
)

// planInput is an operator's call: a configuration put on a base, numbered by the
// operator or, with number 0, by the core; or a reading of the latest one.
type planInput struct {
	read     bool
	number   uint64
	base     uint64
	hasBase  bool
	document int
}

// planOutput is what the operator was told.
type planOutput struct {
	version  uint64
	document int // read back; -1 when unknown
	stale    bool
	unknown  bool
}

// planState is the confirmed configurations, the latest first; nil when none is.
// It is never changed: states share their past.
type planState struct {
	version  uint64
	document int
	before   *planState
	sum      uint64
}

// latest is the version in force; 0 when there is none.
func (s *planState) latest() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// find is the document confirmed under a number.
func (s *planState) find(number uint64) (int, bool) {
	for ; s != nil && s.version >= number; s = s.before {
		if s.version == number {
			return s.document, true
		}
	}
	return 0, false
}

// with adds the next version.
func (s *planState) with(version uint64, document int) *planState {
	h := fnv.New64a()
	var before uint64
	if s != nil {
		before = s.sum
	}
	for _, value := range []uint64{before, version, uint64(document)} {
		for shift := 0; shift < 64; shift += 8 {
			h.Write([]byte{byte(value >> shift)})
		}
	}
	return &planState{version: version, document: document, before: s, sum: h.Sum64()}
}

// planModel is the sequence of confirmed configurations: each number has one
// document for good, a base is built upon once, a repeat of a confirmed order is
// acknowledged again, and a reading gives the latest.
var planModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{(*planState)(nil)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(*planState), input.(planInput), output.(planOutput)
		if in.read {
			return now.reads(out)
		}
		return now.puts(in, out)
	},
	Equal: func(one, other any) bool {
		a, b := one.(*planState), other.(*planState)
		if a == nil || b == nil {
			return a == b
		}
		return a.sum == b.sum && a.version == b.version
	},
}

// reads is the state after a reading; none where the state does not explain it.
func (s *planState) reads(out planOutput) []any {
	if s.latest() != out.version || s != nil && out.document >= 0 && s.document != out.document {
		return nil
	}
	return []any{s}
}

// puts are the states that may follow a put; none where none explains it.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (s *planState) puts(in planInput, out planOutput) []any {
	number := in.number
	if known, taken := s.find(number); number > 0 && taken {
		repeat := known == in.document
		if out.unknown || repeat && !out.stale && out.version == number || !repeat && out.stale {
			return []any{s}
		}
		return nil
	}
	fits := (!in.hasBase || in.base == s.latest()) && (number == 0 || number > s.latest())
	if number == 0 {
		number = s.latest() + 1
	}
	switch {
	case out.unknown && fits:
		return []any{s, s.with(number, in.document)}
	case out.unknown, out.stale && !fits:
		return []any{s}
	case !out.stale && fits && out.version == number:
		return []any{s.with(number, in.document)}
	}
	return nil
}

// planOperations are the operators' calls as the checker takes them. What became of
// an order without an answer is taken from the end of the day where it is certain:
// the checker would try every way otherwise.
func (v *Watch) planOperations() []porcupine.Operation {
	became, certain := v.confirmedAtEnd()
	var out []porcupine.Operation
	for i, p := range v.Puts {
		told := planOutput{version: p.Version, stale: p.Stale, unknown: p.Unknown}
		end := int64(p.Told)
		switch {
		case p.Told == 0 || p.Unknown:
			told.unknown, end = true, math.MaxInt64
			version, applied := became[p.Number]
			if certain && !applied {
				continue // it never took effect
			}
			if applied {
				told = planOutput{version: version}
			}
		case p.Version == 0 && !p.Stale:
			continue // turned away: it never was
		}
		in := planInput{number: p.Wanted, base: p.Base, hasBase: p.HasBase, document: p.Number}
		out = append(out, porcupine.Operation{ClientId: i, Input: in, Call: int64(p.Called), Output: told, Return: end})
	}
	for i, r := range v.Reads {
		if r.Failed || r.Told == 0 {
			continue
		}
		told := planOutput{version: r.Version, document: r.Document}
		out = append(out, porcupine.Operation{ClientId: len(v.Puts) + i, Input: planInput{read: true}, Call: int64(r.Called), Output: told, Return: int64(r.Told)})
	}
	return out
}

// confirmedAtEnd is the version of each document that any daemon has ever held as
// confirmed; certain when the primary's state is there to tell that no other was.
func (v *Watch) confirmedAtEnd() (versions map[int]uint64, certain bool) {
	versions = map[int]uint64{}
	digests := map[state.Digest]int{}
	for body, document := range v.docs {
		if digest, err := state.DigestOf([]byte(body)); err == nil {
			digests[digest] = document
		}
	}
	for version, body := range v.plans {
		versions[v.docs[body]] = version
	}
	for _, r := range v.Reads {
		if r.Document >= 0 && r.Version > 0 {
			versions[r.Document] = r.Version
		}
	}
	for _, n := range v.w.nodes(identity.Core) {
		if !n.up || n.Core == nil || !n.Core.Serving() {
			continue
		}
		certain = true
		for _, taken := range n.Core.State().Orders.All() {
			if document, known := digests[taken.Digest]; known {
				versions[document] = taken.Number
			}
		}
	}
	return versions, certain
}
