package state

import (
	"encoding/json"
	"slices"

	"tuliprudder/internal/clock"
)

// Bounds on the documents that are kept for reading. The newest two are kept whatever their
// size: while the newest is being replicated, the one before it is the newest confirmed one.
const (
	minDocuments     = 2
	maxDocuments     = 8
	maxDocumentBytes = 128 << 10
)

// Version is one configuration as it was applied.
type Version struct {
	Number uint64          `json:"version"`
	Base   uint64          `json:"base,omitempty"` // the version that it replaced
	Body   json.RawMessage `json:"plan"`
	By     string          `json:"by"`
	At     clock.Micros    `json:"at_us"`
}

// Latest returns the newest configuration, or false if there has never been one.
func (s *State) Latest() (Version, bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[len(s.Versions)-1], true
}

// Version returns the configuration with the given number if its document is kept.
func (s *State) Version(number uint64) (Version, bool) {
	for _, version := range slices.Backward(s.Versions) {
		if version.Number == number {
			return version, true
		}
	}
	return Version{}, false
}

// Configured reports whether there has ever been a configuration.
func (s *State) Configured() bool { return len(s.Versions) > 0 }

// PutConfiguration is the entry that adds the next configuration version.
type PutConfiguration struct {
	Version Version `json:"Version"`
	// RequestDigest identifies the request if it was a patch; nil if it was the whole document.
	RequestDigest []byte `json:"Request,omitempty"`
}

// Apply adds the version. A version whose number is not above all others is ignored,
// because a number is never reused for another document.
func (e PutConfiguration) Apply(s *State) {
	latest, ok := s.Latest()
	if ok && e.Version.Number <= latest.Number {
		return
	}
	digest, err := DigestOf(e.Version.Body)
	if err != nil {
		return // a document that is not valid JSON is never put
	}
	if len(e.RequestDigest) == DigestSize {
		digest = Digest(e.RequestDigest)
	}
	e.Version.Base = latest.Number
	s.Requests.add(AppliedRequest{Number: e.Version.Number, Base: latest.Number, Digest: digest})
	s.Versions = append(slices.Clone(s.Versions), e.Version)
	s.pruneDocuments()
}

// pruneDocuments drops the oldest documents until the bounds are met.
func (s *State) pruneDocuments() {
	kept, size := 0, 0
	for _, version := range slices.Backward(s.Versions) {
		size += len(version.Body)
		if kept >= minDocuments && (kept >= maxDocuments || size > maxDocumentBytes) {
			break
		}
		kept++
	}
	s.Versions = slices.Clone(s.Versions[len(s.Versions)-kept:])
}

func (PutConfiguration) kind() string { return kindPutConfiguration }
