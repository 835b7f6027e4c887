// Package modelcontent computes what a stand-in model server answers. The answer follows from the
// input alone, so that a caller can tell an answer that is mixed up, joined or interrupted from
// a complete one (DESIGN §9).
package modelcontent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Chunks is the answer to an input, as so many chunks.
func Chunks(input string, count int) []string {
	out := make([]string, count)
	for i := range out {
		sum := sha256.Sum256([]byte(fmt.Sprintf("%d\x00%s", i, input)))
		out[i] = hex.EncodeToString(sum[:3]) + " "
	}
	return out
}

// Answer is the complete answer to an input, of so many chunks.
func Answer(input string, count int) string { return strings.Join(Chunks(input, count), "") }

// Start is one line of a server's log: a request has started to run, or with End its answer is
// complete.
type Start struct {
	At        int64  `json:"at_us"` // microseconds since 1970
	Server    string `json:"server"`
	RequestID string `json:"order"`
	Input     string `json:"input"`
	Resume    bool   `json:"resume"`
	End       bool   `json:"end,omitempty"`
}
