package reader

import (
	"testing"

	"tuliprudder/ledger/token"
)

// The tokens that callers hold for a feed, and for the list of a bundle, stay good.
func TestTokensOfAnEarlierBuild(t *testing.T) {
	for what, text := range map[string]string{feedPrefix + "customer-1": "AX9gbjMFAgECBPyuZhs", "b-1": "Ad3uVMgFAgECBAMLSF8"} {
		got, err := token.Parse(scope("f-1", what), text)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			continue
		}
		if got.At(1) != 5 || got.At(2) != 9 || got.At(3) != 0 {
			t.Errorf("%s: read %v", what, got.Vector())
		}
	}
}
