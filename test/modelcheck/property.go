package modelcheck

import "fmt"

// Property is a safety or liveness property of the control plane that must hold in every state of a
// run. Its text is printed with a violation.
type Property string

// The properties; docs/notes/models.md lists them with the reasons.
const (
	OneDocumentPerNumber    Property = "one confirmed document a number"
	OneSuccessorPerBase     Property = "two changes on one base are never both confirmed"
	NothingLost             Property = "nothing confirmed is lost"
	NoStaleRead             Property = "no read is older than the newest confirmed configuration"
	OneLease                Property = "no two processes hold the lease at one time"
	CompleteLeader          Property = "a member without the complete state never leads"
	OldIdentity             Property = "a removed or wiped identity never counts"
	OneFleet                Property = "a fleet is bootstrapped once"
	OneVote                 Property = "a voter grants a term to one candidate only"
	Majority                Property = "a leader was granted its term by majorities of old and new voters"
	NoRejectionAfterConfirm Property = "a request that was confirmed is never rejected when sent again"
	NoPanic                 Property = "the machine never panics"
	Progress                Property = "after healing a majority confirms again"
)

// Violation is a property that does not hold in a state.
type Violation struct {
	Property Property
	Detail   string // which process, term, number
}

// Error returns the violated property and how it is violated.
func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Property, v.Detail) }

// addViolation records the first violation of a run; later ones are mostly its consequences.
func (w *World) addViolation(property Property, format string, args ...any) {
	if w.violation == nil {
		w.violation = &Violation{property, fmt.Sprintf(format, args...)}
	}
}
