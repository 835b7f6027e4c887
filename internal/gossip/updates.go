package gossip

import (
	"sort"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

type outstandingRequest struct {
	version Version
	sentAt  clock.Micros
}

func (c *Node) announceSelf(now clock.Micros) {
	c.receive([]machine.Update{{Key: membership.Key(c.self.ID), Epoch: c.self.Incarnation, Seq: c.self.Seq(), Value: c.self.Encode()}}, now)
}

// receive records updates; what is new goes to this daemon's other machines and is
// passed on.
func (c *Node) receive(updates []machine.Update, now clock.Micros) {
	for _, update := range updates {
		if known, ok := c.updates[update.Key]; ok && !update.Newer(known) {
			c.DuplicatesReceived++
			continue
		}
		if strings.HasPrefix(update.Key, membership.KeyPrefix) {
			member, ok := membership.Decode(update.Value)
			if !ok {
				continue
			}
			if member.ID == c.self.ID && member.Status != c.self.Status {
				// Another daemon suspects this one: refute it with a higher statement.
				if update.Epoch == c.self.Incarnation {
					c.Refuted++
					c.self.Statement = max(c.self.Statement, member.Statement) + 1
					c.announceSelf(now)
				}
				continue
			}
			if _, known := c.members[member.ID]; !known && member.Status >= membership.Dead {
				continue // dropped from the directory long ago; don't bring it back
			}
			if c.members[member.ID].Status != member.Status || c.members[member.ID].Incarnation != member.Incarnation {
				c.statusSince[member.ID] = now
				if before := c.members[member.ID].Status; before != membership.Alive || member.Status != membership.Alive {
					c.Emit(machine.LogEvent{Event: MemberStatusChanged{
						Member:      member.ID,
						Kind:        member.Kind,
						Status:      member.Status.String(),
						Incarnation: member.Incarnation,
					}})
				}
			}
			c.members[member.ID] = member
		}
		c.UpdatesReceived++
		c.updates[update.Key] = update
		c.updateVoters(update.Key)
		c.unsent = append(c.unsent, update)
		c.Emit(machine.UpdateReceived{Update: update})
	}
}

// largeUpdate is the size in bytes from which an update is announced by its version
// alone: otherwise every daemon would receive it several times.
const largeUpdate = 2 << 10

// sendPending sends updates that are new here on to a few others.
func (c *Node) sendPending() {
	if len(c.unsent) == 0 {
		return
	}
	var small []machine.Update
	versions := map[string]Version{}
	for _, update := range c.unsent {
		if len(update.Value) >= largeUpdate {
			versions[update.Key] = Version{update.Epoch, update.Seq}
		} else {
			small = append(small, update)
		}
	}
	c.unsent = nil
	for i, at := range c.random.Perm(len(c.view)) {
		if i >= c.settings.Fanout {
			break
		}
		if len(small) > 0 {
			c.Emit(machine.Send{To: c.view[at], Body: Gossip{Updates: small}})
		}
		if len(versions) > 0 {
			c.Emit(machine.Send{To: c.view[at], Body: Announcement{Versions: versions}})
		}
	}
}

// requestAnnounced asks the first daemon that announced an update that is missing
// here, and another only if the first does not answer for a while.
func (c *Node) requestAnnounced(from string, announcement Announcement, now clock.Micros) {
	var missing []string
	for key, version := range announcement.Versions {
		announced := machine.Update{Epoch: version.Epoch, Seq: version.Seq}
		if known, ok := c.updates[key]; ok && !announced.Newer(known) {
			continue
		}
		if earlier, ok := c.requested[key]; ok && earlier.version == version && now-earlier.sentAt < c.settings.DigestInterval/2 {
			continue
		}
		c.requested[key] = outstandingRequest{version, now}
		missing = append(missing, key)
	}
	if len(missing) > 0 {
		sort.Strings(missing)
		c.Emit(machine.Send{To: from, Body: FetchUpdates{Keys: missing}})
	}
}

func (c *Node) sendUpdates(to string, keys []string) {
	var updates []machine.Update
	for _, key := range keys {
		if update, ok := c.updates[key]; ok {
			updates = append(updates, update)
		}
	}
	if len(updates) > 0 {
		c.Emit(machine.Send{To: to, Body: Gossip{Updates: updates}})
	}
}

func (c *Node) sortedKeys() []string {
	keys := make([]string, 0, len(c.updates))
	for key := range c.updates {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Update is the update known under a key.
func (c *Node) Update(key string) (machine.Update, bool) {
	update, ok := c.updates[key]
	return update, ok
}

// UpdatesWithPrefix lists the updates whose keys begin with a prefix, in order.
func (c *Node) UpdatesWithPrefix(prefix string) []machine.Update {
	var out []machine.Update
	for _, key := range c.sortedKeys() {
		if strings.HasPrefix(key, prefix) {
			out = append(out, c.updates[key])
		}
	}
	return out
}
