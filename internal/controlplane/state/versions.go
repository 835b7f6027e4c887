package state

import (
	"encoding/json"
	"slices"

	"tuliprudder/internal/clock"
)

// Bounds on the documents that are kept for reading back. The newest two are kept
// whatever their size: while the newest is on its way to the replicas, the one
// before it is the newest that is confirmed.
const (
	minDocuments     = 2
	maxDocuments     = 8
	maxDocumentBytes = 128 << 10
)

// Version is one configuration as it was applied.
type Version struct {
	Number uint64          `json:"version"`
	Base   uint64          `json:"base,omitempty"` // the version in force before it
	Body   json.RawMessage `json:"plan"`
	By     string          `json:"by"`
	At     clock.Micros    `json:"at_us"`
}

// Latest is the newest configuration; false when none was ever put.
func (s *State) Latest() (Version, bool) {
	if len(s.Versions) == 0 {
		return Version{}, false
	}
	return s.Versions[len(s.Versions)-1], true
}

// Version finds a configuration whose document is kept, by its number.
func (s *State) Version(number uint64) (Version, bool) {
	for _, version := range slices.Backward(s.Versions) {
		if version.Number == number {
			return version, true
		}
	}
	return Version{}, false
}

// Configured tells whether a configuration was ever put.
func (s *State) Configured() bool { return len(s.Versions) > 0 }

// PutConfiguration adds the next version.
type PutConfiguration struct {
	Version Version `json:"Version"`
	// RequestDigest identifies the request where that was no whole document but a patch; nil where
	// it was the document.
	RequestDigest []byte `json:"Request,omitempty"`
}

// Apply adds the version. One whose number is not above all others is ignored:
// a number is given to one document only.
func (e PutConfiguration) Apply(s *State) {
	latest, ok := s.Latest()
	if ok && e.Version.Number <= latest.Number {
		return
	}
	digest, err := DigestOf(e.Version.Body)
	if err != nil {
		return // what does not read as JSON is never put
	}
	if len(e.RequestDigest) == DigestSize {
		digest = Digest(e.RequestDigest)
	}
	e.Version.Base = latest.Number
	s.Requests.add(AppliedRequest{Number: e.Version.Number, Base: latest.Number, Digest: digest})
	s.Versions = append(slices.Clone(s.Versions), e.Version)
	s.pruneDocuments()
}

// pruneDocuments keeps the newest documents, up to their bounds.
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
