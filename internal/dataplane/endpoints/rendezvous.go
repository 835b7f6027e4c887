package endpoints

import (
	"hash/fnv"

	"tuliprudder/internal/membership"
)

// RendezvousOwner is the daemon of a kind that has a role: of those that are alive and
// not draining the one with the lowest hash of role and id. "" where there is none.
//
// This is rendezvous hashing (Thaler and Ravishankar, 1998): daemons that know the same
// members agree without a message, roles spread over the daemons, and a daemon that comes
// or goes moves only the roles that it has. Daemons with different knowledge may disagree
// for a while, so a role's owner needs an epoch as well.
func RendezvousOwner(role string, members []membership.Member, kind string) string {
	owner, lowest := "", uint64(0)
	for _, member := range members {
		isCandidate := member.Kind == kind && member.Status == membership.Alive && !member.Draining
		if !isCandidate {
			continue
		}
		weight := rendezvousWeight(role, member.ID)
		isLower := weight < lowest || weight == lowest && member.ID < owner
		if owner == "" || isLower {
			owner, lowest = member.ID, weight
		}
	}
	return owner
}

// rendezvousWeight is the 64-bit FNV-1a hash of role and id. All daemons must agree on it,
// so it can't change between two releases that run together. FNV-1a hardly mixes the last
// bytes into the high bits: ids that differ only in their last few letters get uneven
// numbers of roles (measured: up to half of them for one of eight daemons).
func rendezvousWeight(role, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(role + "\x00" + id))
	return h.Sum64()
}
