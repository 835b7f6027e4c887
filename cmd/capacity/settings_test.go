package main

import (
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

// Bad settings are all named, each with its remedy, before anything starts.
func TestBadSettingsAreNamed(t *testing.T) {
	for _, one := range []struct {
		args []string
		says string
	}{
		{[]string{"-daemons", "2"}, "-daemons 2: out of bounds; give a whole number from 5"},
		{[]string{"-daemons", "10", "-stores", "8"}, "give more daemons or fewer -stores"},
		{[]string{"-cores", "4"}, "give 3 or 5"},
		{[]string{"-memory", "1000000000"}, "not below half of this machine's memory; give at most"},
		{[]string{"-zones", "2", "-regions", "3"}, "give each region a zone at least"},
		{[]string{"-items", "10", "-whole-edges", "1"}, "leave -whole-edges out"},
		{[]string{"-cut-region", "30"}, "-seconds 20 does not hold the cuts; give at least 38"},
		{[]string{"-cut-region", "3", "-regions", "1"}, "give -regions 2 or more"},
		{[]string{"-seconds", "soon"}, "see -help"},
	} {
		r, _ := newSettingsReader()
		err := r.Parse(one.args)
		if err == nil {
			t.Errorf("%v is taken", one.args)
			continue
		}
		if faults := strings.Join(errs.Of(err).Faults, "; "); !strings.Contains(faults, one.says) {
			t.Errorf("%v: %s", one.args, faults)
		}
	}
	r, opts := newSettingsReader()
	if err := r.Parse([]string{"-daemons", "350"}); err != nil || opts.Cores != 5 || opts.Stores != 100 || opts.Edges() != 245 || opts.FullEdges != 245 {
		t.Errorf("350 daemons: %v, %+v", err, opts.Settings)
	}
}
