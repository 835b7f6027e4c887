package state

import (
	"encoding/json"
	"slices"

	"tuliprudder/kernel/clock"
)

// Bounds on the documents that are kept for reading back. The newest two are kept
// whatever their size: while the newest is on its way to the replicas, the one
// before it is the newest that is confirmed.
const (
	leastDocuments    = 2
	mostDocuments     = 8
	mostDocumentBytes = 128 << 10
)

// Version is one configuration as it was taken.
type Version struct {
	Number uint64          `json:"version"`
	Base   uint64          `json:"base,omitempty"` // the version in force before it
	Body   json.RawMessage `json:"plan"`
	By     string          `json:"by"`
	At     clock.Micros    `json:"at_us"`
}

// Latest is the newest configuration; false when none was ever put.
func (c *State) Latest() (Version, bool) {
	if len(c.Versions) == 0 {
		return Version{}, false
	}
	return c.Versions[len(c.Versions)-1], true
}

// Version finds a configuration whose document is kept, by its number.
func (c *State) Version(number uint64) (Version, bool) {
	for _, version := range slices.Backward(c.Versions) {
		if version.Number == number {
			return version, true
		}
	}
	return Version{}, false
}

// Configured tells whether a configuration was ever put.
func (c *State) Configured() bool { return len(c.Versions) > 0 }

// PutPlan adds the next version.
type PutPlan struct {
	Version Version `json:"Version"`
}

// Apply adds the version. One whose number is not above all others is passed over:
// a number is given to one document only.
func (e PutPlan) Apply(c *State) {
	latest, ok := c.Latest()
	if ok && e.Version.Number <= latest.Number {
		return
	}
	digest, err := DigestOf(e.Version.Body)
	if err != nil {
		return // what does not read as JSON is never put
	}
	e.Version.Base = latest.Number
	c.Orders.add(Order{Number: e.Version.Number, Base: latest.Number, Digest: digest})
	c.Versions = append(slices.Clone(c.Versions), e.Version)
	c.dropDocuments()
}

// dropDocuments keeps the newest documents, up to their bounds.
func (c *State) dropDocuments() {
	kept, size := 0, 0
	for _, version := range slices.Backward(c.Versions) {
		size += len(version.Body)
		if kept >= leastDocuments && (kept >= mostDocuments || size > mostDocumentBytes) {
			break
		}
		kept++
	}
	c.Versions = slices.Clone(c.Versions[len(c.Versions)-kept:])
}

func (PutPlan) kind() string { return kindPutPlan }
