package replication

import "tuliprudder/internal/clock"

// unconfirmedLog has the entries that the primary appended and has not confirmed yet, in the
// order of their numbers.
type unconfirmedLog struct{ entries []logEntry }

// logEntry is one entry of the log.
type logEntry struct {
	seq           uint64
	body          []byte
	syncedLocally bool         // it is on the primary's own disk
	sentAt        clock.Micros // when it was last sent to the replicas
	appendedAt    clock.Micros
}

func (l *unconfirmedLog) append(seq uint64, body []byte, now clock.Micros) {
	l.entries = append(l.entries, logEntry{seq: seq, body: body, sentAt: now, appendedAt: now})
}

func (l *unconfirmedLog) clear() { l.entries = nil }

// recordSynced records that an entry is on the primary's own disk.
func (l *unconfirmedLog) recordSynced(seq uint64) {
	for i := range l.entries {
		if l.entries[i].seq == seq {
			l.entries[i].syncedLocally = true
		}
	}
}

// recordAllSynced records that every entry counts as on the primary's own disk.
func (l *unconfirmedLog) recordAllSynced() {
	for i := range l.entries {
		l.entries[i].syncedLocally = true
	}
}

// takeConfirmed removes the first entry and gives its number if it is on the primary's disk and
// not above replicatedSeq.
func (l *unconfirmedLog) takeConfirmed(replicatedSeq uint64) (seq uint64, ok bool) {
	if len(l.entries) == 0 {
		return 0, false
	}
	first := l.entries[0]
	if !first.syncedLocally || first.seq > replicatedSeq {
		return 0, false
	}
	l.entries = l.entries[1:]
	return first.seq, true
}

// takeDue gives the entries to send again, of the first maxResent ones, and notes that they are
// sent now.
func (l *unconfirmedLog) takeDue(now clock.Micros) []logEntry {
	var due []logEntry
	for i := range l.entries[:min(len(l.entries), maxResent)] {
		e := &l.entries[i]
		if now-e.sentAt >= ResendAfter {
			e.sentAt = now
			due = append(due, *e)
		}
	}
	return due
}

// Unconfirmed is the number of entries that are not confirmed yet.
func (g *Group) Unconfirmed() int { return len(g.asPrimary.log.entries) }

// OldestUnconfirmed is how long the oldest entry that is not confirmed has waited, in
// microseconds; 0 where there is none.
func (g *Group) OldestUnconfirmed(now clock.Micros) clock.Micros {
	if len(g.asPrimary.log.entries) == 0 {
		return 0
	}
	return now - g.asPrimary.log.entries[0].appendedAt
}
