package control

import (
	"slices"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file is how the cores agree on who owns (DESIGN §5.1 to §5.3).

func (s *Core) greet() {
	hello := Heartbeat{Core: s.self, Life: s.life, Fleet: s.vote.Fleet, Vote: s.vote, Role: s.group().Role.String()}
	told := map[string]bool{s.self.Peer: true}
	tell := func(peer string) {
		if peer != "" && !told[peer] {
			told[peer] = true
			s.Emit(machine.Send{To: peer, Body: hello})
		}
	}
	for _, seed := range s.seeds {
		tell(seed)
	}
	for _, core := range s.vote.Cores {
		tell(core.Peer)
	}
	for _, id := range sortedIDs(s.cores) {
		tell(s.cores[id].heartbeat.Core.Peer)
	}
}

// Cairns tells the core of others the acquaintance has heard of.
type Cairns struct{ Peers []string }

// Apply greets those that are new; their own greeting makes them known.
func (c Cairns) Apply(s *Core, now clock.Micros) {
	for _, peer := range c.Peers {
		if peer != s.self.Peer {
			s.Emit(machine.Send{To: peer, Body: Heartbeat{Core: s.self, Life: s.life, Fleet: s.vote.Fleet, Vote: s.vote, Role: s.group().Role.String()}})
		}
	}
}

func (s *Core) greeted(g Heartbeat, now clock.Micros) {
	if g.Core.ID == s.self.ID {
		if g.Core.Peer != s.self.Peer && g.Life <= s.life {
			s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder; the cores give it a seat", "a core of the same identity lives at %s: this data folder is a copy", g.Core.Peer)})
		}
		return
	}
	if s.vote.Fleet != "" && g.Fleet != "" && g.Fleet != s.vote.Fleet {
		if len(s.cores) == 0 && !s.group().Owns() {
			// Alone among strangers: this core's seeds are wrong.
			s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "correct -seeds, or start with an empty data folder to be given a seat here", "this core is of fleet %s; at its seeds is fleet %s", s.vote.Fleet, g.Fleet)})
			return
		}
		s.Emit(machine.Explain{What: "a core of another fleet greeted; it is passed over", Fields: map[string]any{"peer": g.Core.Peer, "fleet": g.Fleet}})
		return
	}
	// An empty machine at an old address is a new identity: the old one is gone.
	for id, other := range s.cores {
		if id != g.Core.ID && other.heartbeat.Core.Peer == g.Core.Peer && other.at < now {
			delete(s.cores, id)
		}
	}
	s.cores[g.Core.ID] = heardCore{heartbeat: g, at: now}
	s.learn(g.Vote, now)
}

// learn takes over what another witness knows to be complete.
func (s *Core) learn(other Vote, now clock.Micros) {
	if s.vote.Fleet == "" || other.Fleet != s.vote.Fleet || other.Done.Epoch <= s.vote.Done.Epoch {
		return
	}
	s.vote.Done, s.vote.Voters = other.Done, other.Voters
	if other.Done.Epoch >= s.vote.Granted {
		s.vote.Granted, s.vote.Grant, s.vote.Cores = other.Done.Epoch, other.Done, other.Voters
	}
	s.groups.Store([]machine.Record{s.voteRecord()}, nil)
	s.align(now)
}

// align gives up a role that a higher epoch ended.
func (s *Core) align(now clock.Micros) {
	rope := s.group()
	if s.vote.Done.Epoch > rope.Epoch {
		s.groups.Release(unitCore, rope.Epoch, now)
	}
}

func (s *Core) life2(id string, now clock.Micros) (uint64, bool) {
	if id == s.self.ID {
		return s.life, true
	}
	heard, ok := s.cores[id]
	if !ok || now-heard.at > s.set.CoreSilent {
		return 0, false
	}
	return heard.heartbeat.Life, true
}

func (s *Core) zoneOf(id string) string {
	if id == s.self.ID {
		return s.self.Zone
	}
	if heard, ok := s.cores[id]; ok {
		return heard.heartbeat.Core.Zone
	}
	for _, core := range s.vote.Cores {
		if core.ID == id {
			return core.Zone
		}
	}
	return ""
}

func seat(cores []CoreRef, id string) int {
	for i, core := range cores {
		if core.ID == id {
			return i
		}
	}
	return -1
}

// stand works out whether this core should claim, and drives a claim on.
func (s *Core) stand(now clock.Micros) {
	if s.claim != nil {
		if now-s.claim.at < claimTries {
			return
		}
		s.claim = nil
	}
	if s.vote.Fleet == "" {
		s.found(now)
		return
	}
	if seat(s.vote.Cores, s.self.ID) < 0 {
		return
	}
	pairing, cores, reason := s.wanted(now)
	if reason == "" {
		s.unwell = 0
		return
	}
	if s.unwell == 0 {
		s.unwell = now
	}
	// Each core waits a little longer than the one before it in the seats.
	if now-s.unwell < clock.Micros(1+seat(s.vote.Cores, s.self.ID))*250*clock.Millisecond {
		return
	}
	for _, id := range sortedIDs(s.cores) {
		if heard := s.cores[id]; heard.heartbeat.Fleet == s.vote.Fleet {
			pairing.Epoch = max(pairing.Epoch, heard.heartbeat.Vote.Granted+1)
		}
	}
	pairing.Epoch = max(pairing.Epoch, s.vote.Granted+1)
	s.unwell = now
	s.Claims++
	s.Emit(machine.Explain{What: "claiming the cores", Fields: map[string]any{"epoch": pairing.Epoch, "reason": reason, "backup": pairing.Backup.ID}})
	s.claim = &claiming{claim: VoteRequest{Fleet: s.vote.Fleet, Assignment: pairing, Cores: cores, Base: s.vote.Done.Epoch, From: s.self}, yes: map[string]Vote{}, at: now}
	s.send()
}

func (s *Core) send() {
	for _, core := range s.claim.claim.Cores {
		if core.ID != s.self.ID {
			s.Emit(machine.Send{To: core.Peer, Body: s.claim.claim})
		}
	}
}

// wanted is the pairing this core should claim, with the reason, or none.
func (s *Core) wanted(now clock.Micros) (replication.Assignment, []CoreRef, string) {
	current := s.vote.Grant
	current.Complete = s.vote.Done.Epoch == s.vote.Granted
	if s.vote.Done.Epoch > 0 {
		current.Trusted = [2]string{s.vote.Done.Owner.ID, s.vote.Done.Backup.ID}
	}
	cores := s.vote.Cores
	if s.vote.Done.Epoch > 0 {
		cores = s.vote.Voters
	}
	scene := replication.Scene{
		Life: func(id string) (uint64, bool) {
			if seat(cores, id) < 0 {
				return 0, false
			}
			return s.life2(id, now)
		},
		Zone: s.zoneOf,
		Spare: func(owner string) string {
			best := ""
			for _, core := range cores {
				if _, ok := s.life2(core.ID, now); ok && core.ID != owner && s.zoneOf(core.ID) != s.zoneOf(owner) {
					best = core.ID
				}
			}
			return best
		},
	}
	// A grant of ours that came to nothing is no pairing: look at the last
	// complete one again.
	if !current.Complete && s.vote.Done.Epoch > 0 && !(current.Owner.ID == s.self.ID && s.group().Owns() && s.group().Epoch == current.Epoch) {
		owner, ok := s.cores[current.Owner.ID]
		alive := ok && now-owner.at <= s.set.CoreSilent && owner.heartbeat.Vote.Granted == current.Epoch && owner.heartbeat.Role != replication.Cold.String()
		if !alive {
			epoch := current.Epoch
			current = s.vote.Done
			current.Complete = true
			next, reason, ok := replication.Next(current, scene)
			if !ok {
				// The last pair is whole but its epoch is burnt: its owner renews.
				life, live := scene.Life(current.Owner.ID)
				if !live {
					return replication.Assignment{}, nil, ""
				}
				next, reason = current, "epoch burnt by a claim that failed"
				next.Owner.Life, next.Complete = life, false
				next.Trusted = [2]string{current.Owner.ID, current.Backup.ID}
			}
			next.Epoch = max(next.Epoch, epoch+1)
			if next.Owner.ID != s.self.ID {
				return replication.Assignment{}, nil, ""
			}
			return next, cores, reason
		}
	}
	next, reason, ok := replication.Next(current, scene)
	if ok && next.Owner.ID == s.self.ID {
		return next, cores, reason
	}
	if ok || !s.Serving() {
		return replication.Assignment{}, nil, ""
	}
	return s.reseat(current, cores, now)
}

// reseat gives the seat of a core that is gone to one that has none: one seat
// at a time, under an epoch of its own.
func (s *Core) reseat(current replication.Assignment, cores []CoreRef, now clock.Micros) (replication.Assignment, []CoreRef, string) {
	// An empty core takes a seat sooner than one that had a seat before: nobody waits
	// for it to come back.
	wait, heir := s.set.ReplaceAfter, CoreRef{}
	for _, id := range sortedIDs(s.cores) {
		heard := s.cores[id]
		if seat(cores, id) >= 0 || now-heard.at > s.set.CoreSilent {
			continue
		}
		empty := heard.heartbeat.Fleet == "" && heard.heartbeat.Vote.Granted == 0
		if empty && s.set.ReplaceSoon > 0 && s.set.ReplaceSoon < wait {
			wait, heir = max(s.set.ReplaceSoon, min(s.set.CoreSilent, wait)), heard.heartbeat.Core
		} else if heir.ID == "" {
			heir = heard.heartbeat.Core
		}
	}
	if heir.ID == "" || now-s.serving <= wait {
		return replication.Assignment{}, nil, ""
	}
	gone := -1
	for i, core := range cores {
		heard, ok := s.cores[core.ID]
		if core.ID != s.self.ID && (!ok || now-heard.at > wait) {
			gone = i
		}
	}
	if gone < 0 {
		return replication.Assignment{}, nil, ""
	}
	seats := append([]CoreRef(nil), cores...)
	seats[gone] = heir
	next := replication.Assignment{Epoch: current.Epoch + 1, Owner: current.Owner, Backup: current.Backup, Trusted: [2]string{current.Owner.ID, current.Backup.ID}}
	return next, seats, "a core is gone; its seat passes to " + heir.ID
}

// founders are the cores that should found a fleet, as this one sees it: all empty
// cores that are heard, or those at this core's seeds where there are more than it
// takes. None where they are not as many as it takes (DESIGN §5.1).
func (s *Core) founders(now clock.Micros) []CoreRef {
	refs := []CoreRef{s.self}
	for _, id := range sortedIDs(s.cores) {
		if heard := s.cores[id]; now-heard.at <= s.set.CoreSilent {
			refs = append(refs, heard.heartbeat.Core)
		}
	}
	if len(refs) > s.set.Founders {
		refs = slices.DeleteFunc(refs, func(ref CoreRef) bool { return !slices.Contains(s.seeds, ref.Peer) })
	}
	if len(refs) != s.set.Founders {
		return nil
	}
	return refs
}

// found begins a fleet: once, and only when as many empty cores as it takes see
// each other.
func (s *Core) found(now clock.Micros) {
	fleet := "f-" + s.self.ID
	for _, id := range sortedIDs(s.cores) {
		heard := s.cores[id]
		// A grant of our own founding that came to nothing is asked for again; any
		// other fleet is founded: wait to be given a seat.
		ours := heard.heartbeat.Fleet == fleet && heard.heartbeat.Vote.Granted <= 1 && heard.heartbeat.Vote.Done.Epoch == 0
		if heard.heartbeat.Fleet != "" && !ours {
			return
		}
	}
	refs := s.founders(now)
	if seat(refs, s.self.ID) < 0 {
		return
	}
	first, second := refs[0], CoreRef{}
	for _, ref := range refs {
		if ref.ID < first.ID {
			first = ref
		}
	}
	if first.ID != s.self.ID {
		return
	}
	for _, ref := range refs {
		if ref.ID != first.ID && ref.Zone != first.Zone && (second.ID == "" || ref.ID < second.ID) {
			second = ref
		}
	}
	if second.ID == "" {
		s.Emit(machine.Explain{What: "can't found: the cores are in one zone; give them -zone settings that differ"})
		return
	}
	pairing := replication.Assignment{Epoch: 1, Owner: replication.Member{ID: s.self.ID, Life: s.life},
		Backup: replication.Member{ID: second.ID, Life: s.cores[second.ID].heartbeat.Life}, Trusted: [2]string{s.self.ID, second.ID}}
	s.claim = &claiming{claim: VoteRequest{Fleet: fleet, Assignment: pairing, Cores: refs, From: s.self}, yes: map[string]Vote{}, at: now, found: true}
	s.send()
}

// claimed is the witness's part.
func (s *Core) claimed(from string, c VoteRequest, now clock.Micros) {
	why := s.objection(c, now)
	answer := VoteReply{Epoch: c.Assignment.Epoch, From: s.self.ID, Yes: why == "", Why: why}
	if why != "" {
		answer.Vote = s.vote
		s.Emit(machine.Send{To: from, Body: answer})
		return
	}
	s.swear(c, func(now clock.Micros) {
		answer.Vote = s.vote
		s.Emit(machine.Send{To: from, Body: answer})
	})
}

// objection is why a witness does not grant a claim; "" when it does.
func (s *Core) objection(c VoteRequest, now clock.Micros) string {
	switch {
	case seat(c.Cores, s.self.ID) < 0:
		return "not a witness of this claim"
	case s.vote.Fleet == "" && c.Assignment.Epoch == 1 && c.Base == 0:
		// Where more cores are empty than it takes, their views may differ.
		for _, ref := range s.founders(now) {
			if seat(c.Cores, ref.ID) < 0 {
				return "other cores found the fleet"
			}
		}
		return ""
	case s.vote.Fleet == "":
		return "" // given a seat by those who hold the fleet
	case s.vote.Fleet != c.Fleet:
		return "another fleet"
	case c.Assignment.Epoch == s.vote.Granted && s.vote.Grant == c.Assignment:
		return "" // asked again
	case c.Assignment.Epoch == 1 && s.vote.Granted == 1 && s.vote.Done.Epoch == 0 && s.vote.Grant.Owner.ID == c.Assignment.Owner.ID:
		return "" // the founder asks again, perhaps in another life
	case c.Assignment.Epoch <= s.vote.Granted:
		return "a higher epoch is granted"
	case c.Base < s.vote.Done.Epoch:
		return "a later pair is complete"
	case s.Serving() && c.From.ID != s.self.ID:
		if s.soundOwner(now) {
			return "this core is primary and its pair is whole"
		}
	}
	done := s.vote.Done
	if owner, ok := s.cores[done.Owner.ID]; ok && done.Owner.ID != c.Assignment.Owner.ID && now-owner.at < s.set.CoreSilent/2 &&
		owner.heartbeat.Life == done.Owner.Life && owner.heartbeat.Role == replication.Serving.String() && owner.heartbeat.Vote.Granted == done.Epoch {
		return "the primary is heard here"
	}
	return ""
}

// soundOwner tells whether this primary still has its backup's ear.
func (s *Core) soundOwner(now clock.Micros) bool { return s.group().LeaseUntil() > now }

// swear writes the grant down.
func (s *Core) swear(c VoteRequest, done func(now clock.Micros)) {
	s.vote.Fleet, s.vote.Granted, s.vote.Grant, s.vote.Cores = c.Fleet, c.Assignment.Epoch, c.Assignment, c.Cores
	if s.vote.Voters == nil {
		s.vote.Voters = c.Cores
	}
	s.groups.Store([]machine.Record{s.voteRecord()}, done)
}

func (s *Core) granted(g VoteReply, now clock.Micros) {
	if !g.Yes {
		s.learn(g.Vote, now)
	}
	if s.claim == nil || g.Epoch != s.claim.claim.Assignment.Epoch || s.claim.sworn {
		return
	}
	if !g.Yes {
		s.claim.failed = true
		return
	}
	s.claim.yes[g.From] = g.Vote
	c := s.claim.claim
	if s.claim.found {
		if len(s.claim.yes) < len(c.Cores)-1 {
			return
		}
	} else if !s.majority(s.claim.yes, c.Cores) || !s.majority(s.claim.yes, s.vote.Voters) {
		return
	}
	for _, vote := range s.claim.yes {
		if vote.Done.Epoch > c.Base {
			s.claim.failed = true
			s.learn(vote, now)
			return
		}
	}
	s.claim.sworn = true
	mine := s.claim
	s.swear(c, func(now clock.Micros) {
		if s.claim == mine {
			s.claim = nil
		}
		if s.vote.Granted == c.Assignment.Epoch {
			s.own(c, now)
		}
	})
}

// majority counts this core as one.
func (s *Core) majority(yes map[string]Vote, cores []CoreRef) bool {
	count := 0
	for _, core := range cores {
		if _, ok := yes[core.ID]; ok || core.ID == s.self.ID {
			count++
		}
	}
	return 2*count > len(cores)
}

func (s *Core) own(c VoteRequest, now clock.Micros) {
	s.Takeovers++
	backup := c.Cores[seat(c.Cores, c.Assignment.Backup.ID)]
	s.Emit(machine.Explain{What: "owning the plan", Fields: map[string]any{"epoch": c.Assignment.Epoch, "backup": backup.ID}})
	s.groups.Own(unitCore, c.Assignment.Epoch, backup.Peer, now)
}

// sealHere is the witness's part of writing a complete pair down.
func (s *Core) sealHere(m Commit, from string) {
	if s.vote.Fleet != "" && m.Fleet != s.vote.Fleet || m.Assignment.Epoch < s.vote.Granted || m.Assignment.Epoch < s.vote.Done.Epoch {
		return
	}
	if seat(m.Cores, s.self.ID) < 0 {
		return
	}
	answer := func(now clock.Micros) {
		if from == "" {
			s.sealedBy(s.self.ID, m.Assignment.Epoch, now)
			return
		}
		s.Emit(machine.Send{To: from, Body: CommitAck{Epoch: m.Assignment.Epoch, From: s.self.ID}})
	}
	s.vote.Fleet = m.Fleet
	s.vote.Done, s.vote.Voters = m.Assignment, m.Cores
	s.vote.Granted, s.vote.Grant, s.vote.Cores = m.Assignment.Epoch, m.Assignment, m.Cores
	s.groups.Store([]machine.Record{s.voteRecord()}, answer)
}

func (s *Core) sealedBy(id string, epoch uint64, now clock.Micros) {
	if s.seal == nil || s.seal.pairing.Epoch != epoch || s.group().Epoch != epoch {
		return
	}
	s.seal.yes[id] = true
	count := 0
	for _, core := range s.seal.cores {
		if s.seal.yes[core.ID] {
			count++
		}
	}
	if 2*count <= len(s.seal.cores) {
		return
	}
	if s.groups.Complete(unitCore, epoch, now) {
		s.serving = now
		s.Emit(machine.Explain{What: "primary", Fields: map[string]any{"epoch": epoch, "backup": s.seal.pairing.Backup.ID}})
		if s.state.Fleet == "" {
			s.propose(change{entry: state.Found{Fleet: s.vote.Fleet, Slots: s.set.Slots}}, now)
		}
		s.publish()
		s.advance(now)
	}
}
