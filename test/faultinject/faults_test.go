package faultinject

import (
	"strings"
	"testing"
)

func TestFormerFaultNamesAreReadWithAWarning(t *testing.T) {
	for _, c := range []struct {
		name, want string
		warned     bool
	}{{"flock", "surge", true}, {"flock-kill", "surge-kill", true}, {"surge", "surge", false}, {"none", "none", false}, {"nothing", "nothing", false}} {
		var warnings strings.Builder
		if got := currentFaultName(c.name, &warnings); got != c.want || (warnings.Len() > 0) != c.warned {
			t.Errorf("%s is read as %s with %q", c.name, got, warnings.String())
		}
	}
	for former, current := range formerFaultNames {
		if faultActions[current] == nil || faultActions[former] != nil {
			t.Errorf("%s stands for %s: there has to be the one and not the other", former, current)
		}
	}
}
