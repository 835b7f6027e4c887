package endpoints

import (
	"fmt"
	"testing"

	"tuliprudder/internal/membership"
)

func newEdges(count int) []membership.Member {
	var out []membership.Member
	for i := range count {
		out = append(out, membership.Member{ID: fmt.Sprintf("edge-%d", i), Kind: membership.Edge, Status: membership.Alive})
	}
	return out
}

// Daemons of different releases must agree on the owner, so the results must not change.
func TestRendezvousOwnersAreStableAcrossReleases(t *testing.T) {
	for role, want := range map[string]string{"account/a": "edge-0", "account/b": "edge-1", "load/s": "edge-4"} {
		if got := RendezvousOwner(role, newEdges(5), membership.Edge); got != want {
			t.Errorf("%s: got %q, want %q", role, got, want)
		}
	}
}

func TestRendezvousOwnerIsAliveAndNotDraining(t *testing.T) {
	members := newEdges(3)
	members = append(members, membership.Member{ID: "store", Kind: membership.Store, Status: membership.Alive})
	for range 3 {
		owner := RendezvousOwner("role", members, membership.Edge)
		if owner == "" || owner == "store" {
			t.Fatalf("got owner %q although edges are alive", owner)
		}
		for i := range members {
			if members[i].ID != owner {
				continue
			}
			// Each owner loses the role for a different reason.
			switch i {
			case 0:
				members[i].Status = membership.Dead
			case 1:
				members[i].Draining = true
			default:
				members[i].Status = membership.Suspect
			}
		}
	}
	if owner := RendezvousOwner("role", members, membership.Edge); owner != "" {
		t.Errorf("got owner %q although no edge is alive", owner)
	}
}

// A daemon that leaves moves only its own roles.
func TestRendezvousMovesFewRoles(t *testing.T) {
	all := newEdges(5)
	moved := 0
	for i := range 1000 {
		role := fmt.Sprint("load/server-", i)
		before, after := RendezvousOwner(role, all, membership.Edge), RendezvousOwner(role, all[1:], membership.Edge)
		if before == after {
			continue
		}
		moved++
		if before != all[0].ID {
			t.Errorf("%s moved from %s to %s, though %s left", role, before, after, all[0].ID)
		}
	}
	if moved == 0 {
		t.Error("the daemon that left had no role")
	}
}

// IDs that differ in more than their last characters get even numbers of roles; see
// rendezvousWeight for other IDs.
func TestRendezvousDistributesRolesEvenly(t *testing.T) {
	const daemons, roles = 5, 1000
	members := newEdges(daemons)
	for i := range members {
		members[i].ID += ".1764662400"
	}
	counts := map[string]int{}
	for i := range roles {
		counts[RendezvousOwner(fmt.Sprint("load/server-", i), members, membership.Edge)]++
	}
	for id, count := range counts {
		if count < roles/daemons/2 || count > roles/daemons*3/2 {
			t.Errorf("%s has %d of %d roles", id, count, roles)
		}
	}
}
