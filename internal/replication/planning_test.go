package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// testFleet is a set of daemons in zones, with the incarnations of those that are available.
type testFleet struct {
	groupSize, minMembers int
	zones                 map[string]string
	incarnations          map[string]uint64
}

// view returns a cluster view that places at most one member in each zone.
func (f testFleet) view() ClusterView {
	return ClusterView{
		GroupSize: f.groupSize,
		Incarnation: func(id string) (uint64, bool) {
			incarnation, available := f.incarnations[id]
			return incarnation, available
		},
		AllowsDegraded: func(members []string) bool { return len(members) >= f.minMembers },
		ChooseReplacement: func(members, excluded []string) string {
			for _, id := range slices.Sorted(maps.Keys(f.zones)) {
				_, available := f.incarnations[id]
				isZoneTaken := slices.ContainsFunc(members, func(other string) bool { return f.zones[other] == f.zones[id] })
				if available && !isZoneTaken && !slices.Contains(excluded, id) {
					return id
				}
			}
			return ""
		},
	}
}

var fourZones = map[string]string{"a": "1", "b": "2", "c": "3", "d": "4"}

func TestNext(t *testing.T) {
	complete := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"b", 1}}, Complete: true, Trusted: []string{"a", "b"}}
	incomplete := Assignment{Epoch: 6, Primary: Member{"a", 1}, Replicas: []Member{{"c", 1}}, Trusted: []string{"a", "b"}}
	for _, test := range []struct {
		name         string
		assignment   Assignment
		groupSize    int
		minMembers   int
		incarnations map[string]uint64
		want         []Member // nil if the assignment stays
		trusted      []string
		reason       string
	}{
		{
			name: "all members available", assignment: complete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"a": 1, "b": 1, "c": 1},
		},
		{
			name: "the replica is lost", assignment: complete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"a": 1, "c": 3},
			want:         []Member{{"a", 1}, {"c", 3}}, trusted: []string{"a", "b"}, reason: reasonReplicaLost,
		},
		{
			name: "the primary is lost", assignment: complete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"b": 1, "c": 3},
			want:         []Member{{"b", 1}, {"c", 3}}, trusted: []string{"a", "b"}, reason: reasonPrimaryLost,
		},
		{
			name: "the primary restarted", assignment: complete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"a": 2, "b": 1},
			want:         []Member{{"b", 1}, {"a", 2}}, trusted: []string{"a", "b"}, reason: reasonPrimaryLost,
		},
		{
			name: "all members restarted", assignment: complete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"a": 2, "b": 2},
			want:         []Member{{"a", 2}, {"b", 2}}, trusted: []string{"a", "b"}, reason: reasonGroupRecovered,
		},
		{
			name: "all members are lost", assignment: complete, groupSize: 2, minMembers: 1,
			incarnations: map[string]uint64{"c": 1, "d": 1},
		},
		{
			name: "no replacement and too few members", assignment: complete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"a": 1},
		},
		{
			name: "no replacement, degraded allowed", assignment: complete, groupSize: 2, minMembers: 1,
			incarnations: map[string]uint64{"a": 1},
			want:         []Member{{"a", 1}}, trusted: []string{"a", "b"}, reason: reasonReplicaLost,
		},
		{
			name: "a replica is missing and available", assignment: complete, groupSize: 3, minMembers: 2,
			incarnations: map[string]uint64{"a": 1, "b": 1, "c": 3},
			want:         []Member{{"a", 1}, {"b", 1}, {"c", 3}}, trusted: []string{"a", "b"}, reason: reasonReplicaMissing,
		},
		{
			name: "a replica is missing and none is available", assignment: complete, groupSize: 3, minMembers: 2,
			incarnations: map[string]uint64{"a": 1, "b": 1},
		},
		{
			name: "a replica of an incomplete group can't succeed", assignment: incomplete, groupSize: 2, minMembers: 1,
			incarnations: map[string]uint64{"c": 1, "d": 1},
		},
		{
			name: "a member of the last complete group succeeds", assignment: incomplete, groupSize: 2, minMembers: 2,
			incarnations: map[string]uint64{"b": 9, "c": 1},
			want:         []Member{{"b", 9}, {"c", 1}}, trusted: []string{"a", "b"}, reason: reasonGroupRecovered,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := testFleet{groupSize: test.groupSize, minMembers: test.minMembers, zones: fourZones, incarnations: test.incarnations}
			next, reason, changed := Next(test.assignment, fleet.view())
			if changed != (test.want != nil) {
				t.Fatalf("changed is %v: %+v", changed, next)
			}
			if !changed {
				return
			}
			want := Assignment{Epoch: test.assignment.Epoch + 1, Primary: test.want[0], Replicas: test.want[1:], Trusted: test.trusted}
			if !next.Equal(want) || reason != test.reason {
				t.Fatalf("planned %+v (%s), want %+v (%s)", next, reason, want, test.reason)
			}
		})
	}
}

func TestReassign(t *testing.T) {
	complete := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"b", 1}}, Complete: true, Trusted: []string{"a", "b"}}
	incomplete := Assignment{Epoch: 6, Primary: Member{"a", 1}, Replicas: []Member{{"c", 1}}, Trusted: []string{"a", "b"}}
	allAvailable := map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1}
	for _, test := range []struct {
		name         string
		assignment   Assignment
		primary      string
		excluded     []string
		groupSize    int
		minMembers   int
		incarnations map[string]uint64
		want         []Member // nil if too few members are available
	}{
		{"a replica becomes the primary", complete, "b", nil, 2, 2, allAvailable, []Member{{"b", 1}, {"a", 1}}},
		{"an excluded member is replaced", complete, "a", []string{"b"}, 2, 2, allAvailable, []Member{{"a", 1}, {"c", 1}}},
		{"an excluded daemon is no replacement", complete, "a", []string{"b", "c"}, 2, 2, allAvailable, []Member{{"a", 1}, {"d", 1}}},
		{"the last complete group comes before replacements", incomplete, "a", []string{"c"}, 2, 2, allAvailable, []Member{{"a", 1}, {"b", 1}}},
		{"members come before the last complete group", incomplete, "a", nil, 2, 2, allAvailable, []Member{{"a", 1}, {"c", 1}}},
		{"an unavailable primary", complete, "a", nil, 2, 1, map[string]uint64{"b": 1}, nil},
		{"too few members", complete, "a", nil, 2, 2, map[string]uint64{"a": 1}, nil},
		{"too few members, degraded allowed", complete, "a", nil, 2, 1, map[string]uint64{"a": 1}, []Member{{"a", 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := testFleet{groupSize: test.groupSize, minMembers: test.minMembers, zones: fourZones, incarnations: test.incarnations}
			next, ok := Reassign(test.assignment, fleet.view(), test.primary, test.excluded)
			if ok != (test.want != nil) {
				t.Fatalf("ok is %v: %+v", ok, next)
			}
			if ok && (fmt.Sprint(next.Members()) != fmt.Sprint(test.want) || next.Epoch != test.assignment.Epoch+1 || next.Complete) {
				t.Fatalf("planned %+v, want %v", next, test.want)
			}
		})
	}
}

// Only a member of the last complete group may be the next primary.
func TestOnlyMembersOfLastCompleteGroupBecomePrimary(t *testing.T) {
	fleet := testFleet{groupSize: 2, minMembers: 2, zones: map[string]string{"a": "1", "b": "2", "c": "3"}, incarnations: map[string]uint64{"c": 1}}
	receiving := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"c", 1}}, Trusted: []string{"a", "b"}}
	if next, _, ok := Next(receiving, fleet.view()); ok {
		t.Fatalf("c was still receiving its snapshot, and yet the group becomes %+v", next)
	}
	fleet.incarnations["b"] = 9
	next, _, ok := Next(receiving, fleet.view())
	if !ok || next.Primary != (Member{"b", 9}) || next.Replicas[0].ID != "c" || next.Epoch != 6 {
		t.Fatalf("b has every confirmed entry and is available again: planned %+v, %v", next, ok)
	}
	complete := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"b", 9}}, Complete: true, Trusted: []string{"a", "b"}}
	next, _, ok = Next(complete, fleet.view())
	if !ok || next.Primary.ID != "b" || next.Complete || !next.IsTrusted("a") {
		t.Fatalf("a is lost: planned %+v, %v", next, ok)
	}
}

// A group of three continues with the two available members once that is allowed, and adds a third
// member as soon as one is available.
func TestGroupOfThreeShrinksAndGrows(t *testing.T) {
	strict := testFleet{groupSize: 3, minMembers: 3, zones: fourZones, incarnations: map[string]uint64{"a": 1, "b": 1}}
	degraded := strict
	degraded.minMembers = 2
	complete := Assignment{Epoch: 5, Primary: Member{"a", 1}, Replicas: []Member{{"b", 1}, {"c", 1}}, Complete: true, Trusted: []string{"a", "b", "c"}}
	if next, _, ok := Next(complete, strict.view()); ok {
		t.Fatalf("two members are too few, and yet %+v was planned", next)
	}
	next, _, ok := Next(complete, degraded.view())
	if !ok || fmt.Sprint(next.IDs()) != "[a b]" || !next.IsTrusted("c") {
		t.Fatalf("two members are enough: planned %+v, %v", next, ok)
	}
	next = next.Completed()
	if again, _, ok := Next(next, degraded.view()); ok {
		t.Fatalf("no better group is possible, and yet %+v was planned", again)
	}
	degraded.incarnations["d"] = 1
	next, _, ok = Next(next, degraded.view())
	if !ok || fmt.Sprint(next.IDs()) != "[a b d]" || next.Complete || fmt.Sprint(next.Trusted) != "[a b]" {
		t.Fatalf("d is available: planned %+v, %v", next, ok)
	}
}
