package modelclient

import (
	"fmt"
	"testing"
)

// The names of outcomes appear in the decision log and must not change.
func TestOutcomeNames(t *testing.T) {
	names := []string{NotStarted.String(), Complete.String(), Interrupted.String(), Rejected.String()}
	if got := fmt.Sprint(names); got != "[not started complete cut rejected]" {
		t.Error(got)
	}
}
