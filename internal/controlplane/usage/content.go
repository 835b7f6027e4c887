// Package usage is the primary core's part of usage reporting (docs/notes/duties.md). Collector
// aggregates the request counts of the edges and proposes one act per wall-clock window, in order.
//
// Proposed counts may still grow; they become final when a permit for the act is granted (package
// exclusive). A Collector's state is lost with its primary: the edges keep their counts until they are
// decided, and report all of them again to the next primary.
//
// Nothing in this package reads a clock or opens a socket, and nothing is safe for concurrent use.
package usage

import (
	"encoding/json"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
)

// Subject is the subject of the acts of all windows.
const Subject exclusive.Subject = "usage"

// Content is the usage report of one window. Its JSON encoding is the content of an act and is stored,
// so the keys must not change.
type Content struct {
	// Window is the number of the window and of its act.
	Window uint64 `json:"window"`
	// Counts is the number of requests that began to run in the window, by tenant. Tenants without
	// any are omitted.
	Counts map[string]int64 `json:"counts"`
}

// Encode returns the content as JSON. The encoding is deterministic: equal counts give equal bytes.
func (c Content) Encode() []byte {
	if c.Counts == nil {
		c.Counts = map[string]int64{}
	}
	data, _ := json.Marshal(c) // json.Marshal sorts the keys of a map
	return data
}

// DecodeContent decodes the content of an act.
func DecodeContent(data []byte) (Content, error) {
	var content Content
	err := json.Unmarshal(data, &content)
	return content, errors.Wrap(err, "decoding a usage report")
}

// Settings configures usage reporting; the platform sets both fields.
type Settings struct {
	// Interval is the length of a window; window k starts k intervals after the Unix epoch. 0, the
	// default, disables reporting.
	Interval clock.Micros
	// Delay is how long after the end of a window its report is due. Default 10 s.
	Delay clock.Micros
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{Delay: 10 * clock.Second} }

// IsEnabled reports whether usage reporting is enabled.
func (s Settings) IsEnabled() bool { return s.Interval > 0 }

// window returns the number of the window that contains a time.
func (s Settings) window(at clock.Micros) uint64 { return uint64(max(0, at) / s.Interval) }

// end returns the time at which a window ends.
func (s Settings) end(window uint64) clock.Micros { return (clock.Micros(window) + 1) * s.Interval }
