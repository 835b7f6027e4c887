package modelclient

import (
	"testing"

	"tuliprudder/test/goldenjson"
)

// The JSON keys of messages to and from model servers must not change.
func TestGoldenJSON(t *testing.T) {
	for name, pointer := range map[string]any{"request.json": &completionRequest{}, "chunk.json": &completionChunk{}} {
		if err := goldenjson.Check("testdata/golden/"+name, pointer); err != nil {
			t.Errorf("%T: %v", pointer, err)
		}
	}
}
