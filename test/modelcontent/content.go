// Package modelcontent computes the answers of the simulated model server. An answer depends on the
// input alone, so that a caller can detect answers that are swapped, spliced or truncated
// (DESIGN §9).
package modelcontent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Chunks returns the answer to an input, divided into count chunks.
func Chunks(input string, count int) []string {
	out := make([]string, count)
	for i := range out {
		sum := sha256.Sum256([]byte(fmt.Sprintf("%d\x00%s", i, input)))
		out[i] = hex.EncodeToString(sum[:3]) + " "
	}
	return out
}

// Answer returns the complete answer to an input, which consists of count chunks.
func Answer(input string, count int) string { return strings.Join(Chunks(input, count), "") }

// Start is an entry of the start log of a model server. It records that a request started to run
// or, if End is set, that its answer is complete.
type Start struct {
	At        int64  `json:"at_us"` // microseconds since the Unix epoch
	Server    string `json:"server"`
	RequestID string `json:"order"`
	Input     string `json:"input"`
	Resume    bool   `json:"resume"`
	End       bool   `json:"end,omitempty"`
}
