package shard

// Ownership is the span of positions that one writer listed while it owned the shard. All
// positions of the next span are higher.
type Ownership struct {
	Writer int   `json:"writer"`
	First  int64 `json:"first"`
	Last   int64 `json:"last"`
}

// maxOwnerships is the number of spans that are kept. Older spans are assumed to be fully
// readable by every reader, so that they limit no writer (token.KnownPositions.ReadableUpTo).
const maxOwnerships = 12

// recordOwnership extends the newest span, or starts a new one if the writer is a different
// one.
func (s *State) recordOwnership(writer int, position int64) {
	if n := len(s.Ownerships); n > 0 && s.Ownerships[n-1].Writer == writer {
		s.Ownerships[n-1].Last = position
		return
	}
	s.Ownerships = append(s.Ownerships, Ownership{Writer: writer, First: position, Last: position})
	if extra := len(s.Ownerships) - maxOwnerships; extra > 0 {
		// Copy, so that the array with the dropped spans can be garbage-collected.
		s.Ownerships = append([]Ownership(nil), s.Ownerships[extra:]...)
	}
}
