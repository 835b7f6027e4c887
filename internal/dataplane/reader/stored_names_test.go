package reader

import (
	"testing"

	"tuliprudder/internal/batchstore/token"
)

// The tokens that callers hold for a feed, and for the list of a batch, stay good.
func TestTokensOfEarlierBuildStayValid(t *testing.T) {
	for subject, text := range map[string]string{feedPrefix + "customer-1": "AX9gbjMFAgECBPyuZhs", "b-1": "Ad3uVMgFAgECBAMLSF8"} {
		got, err := token.Parse(tokenScope("f-1", subject), text)
		if err != nil {
			t.Errorf("%s: %v", subject, err)
			continue
		}
		if got.At(1) != 5 || got.At(2) != 9 || got.At(3) != 0 {
			t.Errorf("%s: read %v", subject, got.Vector())
		}
	}
}
