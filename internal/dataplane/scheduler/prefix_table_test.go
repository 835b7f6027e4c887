package scheduler

import (
	"testing"

	"tuliprudder/internal/config"
)

func prefixed(model, prefix string) *Request {
	return &Request{Route: &config.Route{Model: model}, Prefix: prefix}
}

func TestPrefixTableRemembersTheLastServer(t *testing.T) {
	table := newPrefixTable(10)
	table.record(prefixed("m", "p"), "first")
	table.record(prefixed("m", "p"), "second")
	for name, c := range map[string]struct {
		request *Request
		want    string
	}{
		"the same prefix":             {prefixed("m", "p"), "second"},
		"another prefix":              {prefixed("m", "q"), ""},
		"the prefix of another model": {prefixed("n", "p"), ""},
	} {
		if got := table.lastServer(c.request); got != c.want {
			t.Errorf("%s: server %q, not %q", name, got, c.want)
		}
	}
}

func TestPrefixTableForgetsTheFirstSeen(t *testing.T) {
	table := newPrefixTable(2)
	for _, prefix := range []string{"a", "b", "a", "c"} {
		table.record(prefixed("m", prefix), "s")
	}
	for prefix, want := range map[string]string{"a": "", "b": "s", "c": "s"} {
		if got := table.lastServer(prefixed("m", prefix)); got != want {
			t.Errorf("prefix %s: server %q, not %q", prefix, got, want)
		}
	}
	if len(table.servers) != 2 || table.byAge.Len() != 2 {
		t.Errorf("the table holds %d and the eviction list %d prefixes, not 2", len(table.servers), table.byAge.Len())
	}
}
