// Package usage has the primary core's part of reports of use (docs/notes/duties.md): Collector sums
// what the edges counted, and proposes one act for each window of the wall clock, in their order.
//
// What is proposed may still grow; it is decided when a permit for the act is granted (package
// exclusive). A Collector is forgotten with its primary: the edges, which keep their counts until they
// are decided, report everything anew to the next one.
//
// Nothing here reads a clock or opens a socket, and nothing is safe for concurrent use.
package usage

import (
	"encoding/json"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
)

// Subject is the subject of all windows' acts.
const Subject exclusive.Subject = "usage"

// Content is what is reported of a window. Its JSON is the content of an act, which is stored; the
// keys never change.
type Content struct {
	// Window is the window's number, which is also the act's.
	Window uint64 `json:"window"`
	// Counts are the requests that began to run in the window, by tenant; without those of which none
	// did.
	Counts map[string]int64 `json:"counts"`
}

// Encode is the content as bytes: of the same counts the same bytes.
func (c Content) Encode() []byte {
	if c.Counts == nil {
		c.Counts = map[string]int64{}
	}
	data, _ := json.Marshal(c) // the keys of a map are sorted
	return data
}

// DecodeContent reads the content of an act.
func DecodeContent(data []byte) (Content, error) {
	var content Content
	err := json.Unmarshal(data, &content)
	return content, errors.Wrap(err, "decoding a report of use")
}

// Settings of reports of use; the platform gives the first two.
type Settings struct {
	// Interval is the length of a window; window k starts k intervals after 1970. 0, the default:
	// nothing is reported.
	Interval clock.Micros
	// Delay is the time after a window's end at which its report is due. Default 10 s.
	Delay clock.Micros
}

// Defaults are the values used where nothing is set.
func Defaults() Settings { return Settings{Delay: 10 * clock.Second} }

// IsEnabled tells whether anything is reported.
func (s Settings) IsEnabled() bool { return s.Interval > 0 }

// window is the number of the window that a time is in.
func (s Settings) window(at clock.Micros) uint64 { return uint64(max(0, at) / s.Interval) }

// end is when a window ends.
func (s Settings) end(window uint64) clock.Micros { return (clock.Micros(window) + 1) * s.Interval }
