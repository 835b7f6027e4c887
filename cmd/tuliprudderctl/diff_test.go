package main

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

func mustDecode(t *testing.T, text string) document {
	t.Helper()
	var out document
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// The diff reports that a tenant's keys change but never prints a key.
func TestDiffNeverPrintsTenantKeys(t *testing.T) {
	from := mustDecode(t, `{"customers":[{"name":"a","key":"secret-1"},{"name":"b","keys":["secret-2"]},{"name":"c","keys":["secret-3"]}]}`)
	to := mustDecode(t, `{"customers":[{"name":"a","keys":["secret-1","secret-4"]},{"name":"b","keys":["secret-5"],"class":"x"},{"name":"d","keys":["secret-6"]}]}`)
	got := diffDocuments(from, to)
	want := []string{"~ customers a", "    key changes", "    keys changes", "~ customers b", `    class: null -> "x"`, "    keys changes", "- customers c", "+ customers d"}
	if !slices.Equal(got, want) || strings.Contains(strings.Join(got, "\n"), "secret") {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestDiffDocuments(t *testing.T) {
	const base = `{"classes":[{"name":"live","rank":3}],"pools":[{"name":"main"}],"judges":{"fullness":1}}`
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"equal", base, base, nil},
		{"added and removed", base, `{"classes":[{"name":"live","rank":3}],"pools":[{"name":"spare"}],"judges":{"fullness":1}}`, []string{"- pools main", "+ pools spare"}},
		{"changed fields, sorted", base, `{"classes":[{"name":"live","rank":4,"allowance":9}],"pools":[{"name":"main"}],"judges":{"fullness":1}}`,
			[]string{"~ classes live", "    allowance: null -> 9", "    rank: 3 -> 4"}},
		{"scorers", base, `{"classes":[{"name":"live","rank":3}],"pools":[{"name":"main"}],"judges":{"fullness":2}}`, []string{"~ judges"}},
		{"values that are not entries", `{"classes":[5]}`, `{"classes":"x"}`, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := diffDocuments(mustDecode(t, c.from), mustDecode(t, c.to)); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
