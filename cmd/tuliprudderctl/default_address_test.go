package main

import (
	"strings"
	"testing"
)

func TestDefaultAddressReadsFormerVariableWithWarning(t *testing.T) {
	for _, c := range []struct {
		name, current, former, want string
		warned                      bool
	}{
		{"neither", "", "", "", false},
		{"the current one", "1.2.3.4:1", "", "1.2.3.4:1", false},
		{"the former one", "", "1.2.3.4:2", "1.2.3.4:2", true},
		{"both", "1.2.3.4:1", "1.2.3.4:2", "1.2.3.4:1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			environment := map[string]string{addressVariable: c.current, formerAddressVariable: c.former}
			var warnings strings.Builder
			got := defaultAddress(&warnings, func(name string) string { return environment[name] })
			if got != c.want || (warnings.Len() > 0) != c.warned {
				t.Fatalf("address %q, warnings %q", got, warnings.String())
			}
		})
	}
}
