package changequeue

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
)

// Configuration is a request to put a configuration, to be decided at its turn (DESIGN §8.1).
type Configuration struct {
	Number     uint64 // the operator's own version; 0: the core numbers it
	Base       uint64 // the version that it is built on; 0: none is in force
	HasBase    bool   // only if Base is in force
	Body       []byte // the whole document; nil for a patch
	Patch      *config.Patch
	By         string
	Digest     state.Digest // of the document, or of the patch, as it was sent
	ReceivedAt clock.Micros

	decidedNumber uint64
}

// Version is the number that the configuration has once it is decided.
func (p *Configuration) Version() uint64 { return p.decidedNumber }

// isSameRequest tells whether two requests are one that was sent twice.
func (p *Configuration) isSameRequest(other *Configuration) bool {
	sameBase := p.HasBase == other.HasBase && p.Base == other.Base
	return p.Number == other.Number && sameBase && p.Digest == other.Digest
}

// dependsOn tells whether a request is built on top of another one that waits, too.
func (p *Configuration) dependsOn(other *Configuration) bool {
	return p.HasBase && p.Number > p.Base && other.Number == p.Base
}

// appliedVersion finds the version that this request became, whether that is confirmed or in
// flight. A request with the operator's own number is recognised by the number and
// the document; one that the core numbered by the document and its base.
func (p *Configuration) appliedVersion(current *state.State) (uint64, bool) {
	var applied state.AppliedRequest
	var known bool
	switch {
	case p.Number != 0:
		applied, known = current.Requests.Find(p.Number)
	case p.HasBase:
		applied, known = current.Requests.FindByBase(p.Base)
	}
	return applied.Number, known && applied.Digest == p.Digest
}

// isOutcomeUnknown tells whether it is no longer known what became of such a request: it
// is older than all that the table of requests recognises.
func (p *Configuration) isOutcomeUnknown(current *state.State) bool {
	oldest := current.Requests.PrunedUpTo()
	if p.Number != 0 {
		return p.Number <= oldest
	}
	return p.HasBase && p.Base < oldest
}

// awaitsBase tells whether a request is built on a version above the one in force, which
// somebody may have put and nobody has brought here yet. No decision on it would be final.
func (p *Configuration) awaitsBase(current *state.State) bool {
	latest, _ := current.Latest()
	return p.HasBase && p.Base > latest.Number && (p.Number == 0 || p.Number > p.Base)
}

// decide numbers the configuration, or refuses it where its base is not in force
// or its number is not above the one in force (DESIGN §8.1, §12.7). The entry is nil
// where the very same request was applied before: it is not written again. A refusal is
// final: numbers in force only rise, so a request that is refused once would be
// refused at any later time. (One built on a version that is yet to come waits, and is
// not decided.)
func (p *Configuration) decide(current *state.State, check CheckDocument) (state.Entry, error) {
	if number, applied := p.appliedVersion(current); applied {
		p.decidedNumber = number
		return nil, nil
	}
	if p.isOutcomeUnknown(current) {
		return nil, errs.New(errs.OutcomeUnknown, "read back what is in force; put what is missing under a new number",
			"more than %d configurations were put since: it is no longer known whether this one was among them", state.MaxRequests)
	}
	latest, _ := current.Latest()
	if err := p.checkVersion(current, latest.Number); err != nil {
		return nil, err
	}
	entry := state.PutConfiguration{Version: state.Version{Number: p.Number, Body: p.Body, By: p.By, At: p.ReceivedAt}}
	if p.Patch != nil {
		patched, err := p.patch(latest.Body, check)
		if err != nil {
			return nil, err
		}
		entry.Version.Body = patched
		entry.RequestDigest = p.Digest[:]
	}
	if entry.Version.Number == 0 {
		entry.Version.Number = latest.Number + 1
	}
	p.decidedNumber = entry.Version.Number
	return entry, nil
}

// patch makes the whole document of the one in force. A patch is applied here, where its base is
// checked, so that no other change can come between the two.
func (p *Configuration) patch(document []byte, check CheckDocument) ([]byte, error) {
	patched, err := p.Patch.Apply(document)
	if err != nil {
		return nil, err
	}
	if check == nil {
		return patched, nil
	}
	return patched, check(patched)
}

// checkVersion is why the request can't be applied on top of the version in force.
func (p *Configuration) checkVersion(current *state.State, inForce uint64) error {
	if _, taken := current.Requests.Find(p.Number); taken {
		return errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base and a number above it",
			"version %d exists already and has another document", p.Number)
	}
	if p.HasBase && p.Base != inForce {
		return errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base",
			"the configuration in force is version %d, not %d", inForce, p.Base)
	}
	if p.Number != 0 && p.Number <= inForce {
		return errs.New(errs.InvalidConfiguration, fmt.Sprintf("number the configuration above %d", inForce),
			"version %d is not above the one in force, %d", p.Number, inForce)
	}
	return nil
}
