package replication

import "tuliprudder/internal/clock"

// unconfirmedLog holds the entries that the primary has appended and not confirmed yet, in the order
// of their sequence numbers.
type unconfirmedLog struct{ entries []logEntry }

type logEntry struct {
	seq           uint64
	body          []byte
	syncedLocally bool         // whether it is on the primary's own disk
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

// recordAllSynced marks every entry as on the primary's own disk.
func (l *unconfirmedLog) recordAllSynced() {
	for i := range l.entries {
		l.entries[i].syncedLocally = true
	}
}

// takeConfirmed removes the first entry and returns its sequence number, provided that the entry is
// on the primary's own disk and not above replicatedSeq.
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

// takeDue returns those of the first maxResent entries that are due for resending, and marks them as
// sent at now.
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

// Unconfirmed returns the number of entries that are not confirmed yet.
func (g *Group) Unconfirmed() int { return len(g.asPrimary.log.entries) }

// OldestUnconfirmed returns the age of the oldest unconfirmed entry in microseconds, or 0 if there is
// none.
func (g *Group) OldestUnconfirmed(now clock.Micros) clock.Micros {
	if len(g.asPrimary.log.entries) == 0 {
		return 0
	}
	return now - g.asPrimary.log.entries[0].appendedAt
}
