package config

import "testing"

func TestSelectorMatchesLabels(t *testing.T) {
	for name, c := range map[string]struct {
		selector Selector
		labels   Labels
		want     bool
	}{
		"no selector":              {nil, Labels{"u": "x"}, true},
		"one of several values":    {Selector{"u": {"w", "x"}}, Labels{"u": "x", "v": "y"}, true},
		"another value":            {Selector{"u": {"w"}}, Labels{"u": "x"}, false},
		"a label that is missing":  {Selector{"u": {"x"}}, nil, false},
		"one label of two differs": {Selector{"u": {"x"}, "v": {"z"}}, Labels{"u": "x", "v": "y"}, false},
	} {
		if got := c.selector.Matches(c.labels); got != c.want {
			t.Errorf("%s: got match %v", name, got)
		}
	}
}
