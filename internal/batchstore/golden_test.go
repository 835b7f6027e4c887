package batchstore

import (
	"testing"

	"tuliprudder/test/goldenjson"
)

// What a store keeps of itself is written as the earlier build wrote it.
func TestGoldenJSON(t *testing.T) {
	if err := goldenjson.Check("testdata/golden/writer.json", &writerIdentity{}); err != nil {
		t.Error(err)
	}
}
