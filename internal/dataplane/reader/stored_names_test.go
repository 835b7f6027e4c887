package reader

import (
	"testing"

	"tuliprudder/internal/batchstore/token"
)

// Tokens of an earlier build that callers hold for a feed, or for the results of a batch, stay valid.
func TestTokensOfEarlierBuildStayValid(t *testing.T) {
	for subject, text := range map[string]string{feedPrefix + "customer-1": "AX9gbjMFAgECBPyuZhs", "b-1": "Ad3uVMgFAgECBAMLSF8"} {
		got, err := token.Parse(tokenScope("f-1", subject), text)
		if err != nil {
			t.Errorf("%s: %v", subject, err)
			continue
		}
		if got.At(1) != 5 || got.At(2) != 9 || got.At(3) != 0 {
			t.Errorf("%s: token has the vector %v", subject, got.Vector())
		}
	}
}
