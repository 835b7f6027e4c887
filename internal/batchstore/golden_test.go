package batchstore

import (
	"testing"

	"tuliprudder/test/goldenjson"
)

// The stored writer identity has the JSON form that earlier releases wrote.
func TestGoldenJSON(t *testing.T) {
	if err := goldenjson.Check("testdata/golden/writer.json", &writerIdentity{}); err != nil {
		t.Error(err)
	}
}
