package changequeue

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
)

// Configuration is a request to put a configuration. It is decided when its turn comes (DESIGN
// §8.1).
type Configuration struct {
	Number     uint64 // chosen by the operator; 0: the core assigns it
	Base       uint64 // the version that it is based on; 0: none is in force
	HasBase    bool   // the request is valid only if Base is in force
	Body       []byte // the whole document; nil if the request is a patch
	Patch      *config.Patch
	By         string
	Digest     state.Digest // of the document or the patch, as it was sent
	ReceivedAt clock.Micros

	decidedNumber uint64
}

// Version returns the number that the configuration got when it was decided.
func (p *Configuration) Version() uint64 { return p.decidedNumber }

// isSameRequest reports whether two requests are the same request, sent twice.
func (p *Configuration) isSameRequest(other *Configuration) bool {
	sameBase := p.HasBase == other.HasBase && p.Base == other.Base
	return p.Number == other.Number && sameBase && p.Digest == other.Digest
}

// dependsOn reports whether a request is based on another waiting one.
func (p *Configuration) dependsOn(other *Configuration) bool {
	return p.HasBase && p.Number > p.Base && other.Number == p.Base
}

// appliedVersion returns the version that this request became, whether that is confirmed or in
// flight, and false if the request was not applied. A request that the operator numbered is
// recognised by its number and digest, one that the core numbered by its base and digest.
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

// isOutcomeUnknown reports whether it is no longer known if this request was applied, because it
// is older than all requests in the table of requests.
func (p *Configuration) isOutcomeUnknown(current *state.State) bool {
	oldest := current.Requests.PrunedUpTo()
	if p.Number != 0 {
		return p.Number <= oldest
	}
	return p.HasBase && p.Base < oldest
}

// awaitsBase reports whether a request is based on a version above the one in force. The request
// for that version may still be on its way, so no decision would be final yet.
func (p *Configuration) awaitsBase(current *state.State) bool {
	latest, _ := current.Latest()
	return p.HasBase && p.Base > latest.Number && (p.Number == 0 || p.Number > p.Base)
}

// decide numbers the configuration, or refuses it if its base is not in force or its
// number is not above the one in force (DESIGN §8.1, §12.7). The entry is nil if the same
// request was applied before: it is not written again. A refusal is final: numbers in
// force only increase, so a request that is refused once would be refused at any later
// time. (A request based on a version that is still to come waits and is not decided.)
func (p *Configuration) decide(current *state.State, check CheckDocument) (state.Entry, error) {
	if number, applied := p.appliedVersion(current); applied {
		p.decidedNumber = number
		return nil, nil
	}
	if p.isOutcomeUnknown(current) {
		return nil, errs.New(errs.OutcomeUnknown, "read the configuration in force, and put what is missing under a new number",
			"more than %d configurations were put since this request; it is no longer known whether it was applied", state.MaxRequests)
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

// patch applies the patch to the document in force and checks the result. It is applied when the
// request is decided, so that no other change can come between the check of its base and the
// patch.
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

// checkVersion returns an error if the request cannot be applied on top of the version in force.
func (p *Configuration) checkVersion(current *state.State, inForce uint64) error {
	if _, taken := current.Requests.Find(p.Number); taken {
		return errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base and a number above it",
			"version %d already exists with a different document", p.Number)
	}
	if p.HasBase && p.Base != inForce {
		return errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base",
			"the configuration in force is version %d, not %d", inForce, p.Base)
	}
	if p.Number != 0 && p.Number <= inForce {
		return errs.New(errs.InvalidConfiguration, fmt.Sprintf("use a version number above %d", inForce),
			"version %d is not above the version in force, %d", p.Number, inForce)
	}
	return nil
}
