package shard

// Ownership is the span of positions that one writer listed while it owned the shard. The
// positions of the next span all lie above it.
type Ownership struct {
	Writer int   `json:"writer"`
	First  int64 `json:"first"`
	Last   int64 `json:"last"`
}

// maxOwnerships is how many spans are kept. Every reader has long been able to read older
// ones to their end, so they delay nobody (token.KnownPositions.ReadableUpTo).
const maxOwnerships = 12

// recordOwnership extends the newest span, or begins the next one when the writer is
// another.
func (s *State) recordOwnership(writer int, position int64) {
	if n := len(s.Ownerships); n > 0 && s.Ownerships[n-1].Writer == writer {
		s.Ownerships[n-1].Last = position
		return
	}
	s.Ownerships = append(s.Ownerships, Ownership{Writer: writer, First: position, Last: position})
	if extra := len(s.Ownerships) - maxOwnerships; extra > 0 {
		// A copy, so that the dropped spans do not stay in memory behind the slice.
		s.Ownerships = append([]Ownership(nil), s.Ownerships[extra:]...)
	}
}
