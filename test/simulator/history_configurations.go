package simulator

import (
	"hash/fnv"
	"math"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/membership"

	"github.com/anishathalye/porcupine"
)

// configurationInput is an operator's call: a configuration put on a base, numbered by the
// operator or, with number 0, by the core; or a reading of the latest one.
type configurationInput struct {
	isRead   bool
	version  uint64
	base     uint64
	hasBase  bool
	document int
}

// configurationOutput is what the operator was answered.
type configurationOutput struct {
	version  uint64
	document int // read back; -1 when unknown
	stale    bool
	unknown  bool
}

// configurationState is the confirmed configurations, the latest first; nil when none is.
// It is never changed: states share their past.
type configurationState struct {
	version     uint64
	document    int
	previous    *configurationState
	historyHash uint64
}

// latest is the version in force; 0 when there is none.
func (s *configurationState) latest() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// documentOf is the document confirmed under a number.
func (s *configurationState) documentOf(number uint64) (int, bool) {
	for ; s != nil && s.version >= number; s = s.previous {
		if s.version == number {
			return s.document, true
		}
	}
	return 0, false
}

// withVersion adds the next version.
func (s *configurationState) withVersion(version uint64, document int) *configurationState {
	hash := fnv.New64a()
	var before uint64
	if s != nil {
		before = s.historyHash
	}
	for _, value := range []uint64{before, version, uint64(document)} {
		for shift := 0; shift < 64; shift += 8 {
			hash.Write([]byte{byte(value >> shift)})
		}
	}
	return &configurationState{version: version, document: document, previous: s, historyHash: hash.Sum64()}
}

// configurationModel is the sequence of confirmed configurations: each number has one
// document for good, a base is built upon once, a repeat of a confirmed order is
// acknowledged again, and a reading gives the latest.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{(*configurationState)(nil)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(*configurationState), input.(configurationInput), output.(configurationOutput)
		if in.isRead {
			return current.afterRead(out)
		}
		return current.afterPut(in, out)
	},
	Equal: func(one, other any) bool {
		a, b := one.(*configurationState), other.(*configurationState)
		if a == nil || b == nil {
			return a == b
		}
		return a.historyHash == b.historyHash && a.version == b.version
	},
}

// afterRead is the state after a reading; none where the state does not explain it.
func (s *configurationState) afterRead(out configurationOutput) []any {
	if s.latest() != out.version || s != nil && out.document >= 0 && s.document != out.document {
		return nil
	}
	return []any{s}
}

// afterPut are the states that may follow a put; none where none explains it.
func (s *configurationState) afterPut(in configurationInput, out configurationOutput) []any {
	if in.version > 0 {
		if known, applied := s.documentOf(in.version); applied {
			return s.afterRepeatedNumber(known == in.document, in.version, out)
		}
	}
	number, fits := s.numberOf(in)
	switch {
	case out.unknown && fits:
		return []any{s, s.withVersion(number, in.document)}
	case out.unknown, out.stale && !fits:
		return []any{s}
	case !out.stale && fits && out.version == number:
		return []any{s.withVersion(number, in.document)}
	}
	return nil
}

// numberOf is the version that a put gets, and whether it fits the state: it builds on the
// latest version, and its number is above that.
func (s *configurationState) numberOf(in configurationInput) (number uint64, fits bool) {
	number = in.version
	if number == 0 {
		number = s.latest() + 1
	}
	buildsOnLatest := !in.hasBase || in.base == s.latest()
	return number, number > s.latest() && buildsOnLatest
}

// afterRepeatedNumber is the state after a put under a number that has a document already:
// the same document has to be acknowledged again, another one rejected.
func (s *configurationState) afterRepeatedNumber(sameDocument bool, number uint64, out configurationOutput) []any {
	explained := out.unknown
	if sameDocument {
		explained = explained || !out.stale && out.version == number
	} else {
		explained = explained || out.stale
	}
	if !explained {
		return nil
	}
	return []any{s}
}

// configurationOperations are the operators' calls as the checker takes them.
func (v *Workload) configurationOperations() []porcupine.Operation {
	confirmed, certain := v.confirmedAtEnd()
	var out []porcupine.Operation
	for i, p := range v.ConfigurationPuts {
		output, end, ok := p.outputFor(confirmed, certain)
		if !ok {
			continue
		}
		in := configurationInput{version: p.RequestedVersion, base: p.Base, hasBase: p.HasBase, document: p.Document}
		out = append(out, porcupine.Operation{ClientId: i, Input: in, Call: int64(p.CalledAt), Output: output, Return: end})
	}
	for i, r := range v.ConfigurationReads {
		if r.Failed || r.AnsweredAt == 0 {
			continue
		}
		output := configurationOutput{version: r.Version, document: r.Document}
		out = append(out, porcupine.Operation{ClientId: len(v.ConfigurationPuts) + i, Input: configurationInput{isRead: true}, Call: int64(r.CalledAt), Output: output, Return: int64(r.AnsweredAt)})
	}
	return out
}

// outputFor is what a put came to and when it ended at the latest; false where it had no
// effect. The effect of a request without an answer is taken from the end of the run where
// that is certain: the checker would search every possibility otherwise.
func (p *ConfigurationPut) outputFor(confirmed map[int]uint64, certain bool) (output configurationOutput, end int64, ok bool) {
	if p.AnsweredAt > 0 && !p.Unknown {
		wasRejected := p.Version == 0 && !p.Stale
		return configurationOutput{version: p.Version, stale: p.Stale}, int64(p.AnsweredAt), !wasRejected
	}
	if version, applied := confirmed[p.Document]; applied {
		return configurationOutput{version: version}, math.MaxInt64, true
	}
	return configurationOutput{version: p.Version, stale: p.Stale, unknown: true}, math.MaxInt64, !certain
}

// confirmedAtEnd is the version of each document that any daemon ever had as confirmed;
// certain where the primary's state is there to show that no other was.
func (v *Workload) confirmedAtEnd() (versions map[int]uint64, certain bool) {
	versions = map[int]uint64{}
	for version, body := range v.configurationBodies {
		versions[v.documentNumbers[body]] = version
	}
	for _, r := range v.ConfigurationReads {
		if r.Document >= 0 && r.Version > 0 {
			versions[r.Document] = r.Version
		}
	}
	documents := v.documentsByDigest()
	for _, n := range v.world.nodes(membership.Core) {
		if !n.up || n.Core == nil || !n.Core.IsServing() {
			continue
		}
		certain = true
		for _, applied := range n.Core.State().Requests.All() {
			if document, known := documents[applied.Digest]; known {
				versions[document] = applied.Number
			}
		}
	}
	return versions, certain
}

// documentsByDigest are the numbers of the documents by the digest of the request that brings
// them: the document itself, or a patch.
func (h *History) documentsByDigest() map[state.Digest]int {
	documents := map[state.Digest]int{}
	for _, numbers := range []map[string]int{h.documentNumbers, h.patchNumbers} {
		for body, document := range numbers {
			if digest, err := state.DigestOf([]byte(body)); err == nil {
				documents[digest] = document
			}
		}
	}
	return documents
}
