package endpoints

import (
	"hash/fnv"

	"tuliprudder/internal/membership"
)

// RendezvousOwner returns the ID of the daemon of a kind that owns a role: the one with the lowest
// hash of role and ID among those that are alive and not draining. "" if there is none.
//
// This is rendezvous hashing (Thaler and Ravishankar, 1998): daemons that know the same
// members agree without a message, roles are distributed over the daemons, and a daemon that
// joins or leaves moves only the roles that it owns. Daemons that know different members may
// disagree for a while, so a role's owner needs an epoch as well.
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

// rendezvousWeight returns the 64-bit FNV-1a hash of role and ID. All daemons must agree on it,
// so it must not change between two releases that run together. FNV-1a hardly mixes the last
// bytes into the high bits: IDs that differ only in their last few characters get uneven
// numbers of roles (measured: up to half of them for one of eight daemons).
func rendezvousWeight(role, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(role + "\x00" + id))
	return h.Sum64()
}
