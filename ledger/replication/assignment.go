// Package replication is the fenced pair (DESIGN §4): an owner and a backup in two
// zones hold the same records under an epoch. It serves the plan on the cores
// and the ledgers on the stores alike.
package replication

// Member is one life of one daemon: its identity and its incarnation. A daemon
// that restarted is another member life and has to be paired anew.
type Member struct {
	ID   string `json:"id"`
	Life uint64 `json:"life"`
}

// Assignment is what the granter has written down of one unit.
type Assignment struct {
	Epoch    uint64    `json:"epoch"`
	Owner    Member    `json:"owner"`
	Backup   Member    `json:"backup"`
	Complete bool      `json:"complete"`
	Trusted  [2]string `json:"trusted"` // the last complete pair: who may own next
}

// Zero tells that the unit was never paired.
func (p Assignment) Zero() bool { return p.Epoch == 0 }

// Trusts tells whether a daemon holds all that was ever confirmed.
func (p Assignment) Trusts(id string) bool {
	return id != "" && (p.Trusted[0] == id || p.Trusted[1] == id)
}

// Holds tells whether a daemon must keep what it has of this unit.
func (p Assignment) Holds(id string) bool {
	return p.Owner.ID == id || p.Backup.ID == id || (!p.Complete && p.Trusts(id))
}

// Scene is what the granter sees of the daemons.
type Scene struct {
	// Life is the incarnation a daemon is living now; false when it is silent.
	Life func(id string) (uint64, bool)
	// Zone is a daemon's zone.
	Zone func(id string) string
	// Spare picks a new backup for an owner, in another zone, in order of
	// preference; "" when there is none.
	Spare func(owner string) string
}

// Next works out the pairing that should follow, or false when all is well or
// nothing better can be had. Only a member of the last complete pair may own.
func Next(p Assignment, scene Scene) (Assignment, string, bool) {
	live := func(m Member) bool {
		life, ok := scene.Life(m.ID)
		return ok && life == m.Life
	}
	ownerLive, backupLive := live(p.Owner), live(p.Backup)
	if ownerLive && backupLive {
		return p, "", false
	}
	next := Assignment{Epoch: p.Epoch + 1, Trusted: p.Trusted}
	if p.Complete {
		next.Trusted = [2]string{p.Owner.ID, p.Backup.ID}
	}
	reason, heir := "", ""
	switch {
	case ownerLive:
		heir, reason = p.Owner.ID, "backup lost"
	case p.Complete && backupLive:
		heir, reason = p.Backup.ID, "owner lost"
	default:
		// Neither lived through: any trusted daemon that is back may read its
		// disk; the owner first, since it may hold more.
		for _, id := range []string{p.Owner.ID, next.Trusted[0], next.Trusted[1]} {
			if _, ok := scene.Life(id); ok && next.Trusts(id) {
				heir, reason = id, "pair lost, disk of a member read back"
				break
			}
		}
	}
	if heir == "" {
		return p, "", false
	}
	life, _ := scene.Life(heir)
	next.Owner = Member{heir, life}
	spare := ""
	// A trusted partner that is back is copied to first: it keeps the zones.
	for _, id := range next.Trusted {
		if _, ok := scene.Life(id); ok && id != heir && scene.Zone(id) != scene.Zone(heir) {
			spare = id
		}
	}
	if other := scene.Spare(heir); spare == "" {
		spare = other
	}
	if spare == "" {
		return p, "", false // no partner in another zone: wait for one
	}
	life, _ = scene.Life(spare)
	next.Backup = Member{spare, life}
	return next, reason, true
}
