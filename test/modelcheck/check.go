package modelcheck

import (
	"encoding/json"
	"fmt"
	"slices"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Property is a promise of the control plane that every state of a run has to keep.
type Property string

// The properties.
const (
	OneDocumentPerNumber    Property = "one confirmed document a number"
	OneSuccessorPerBase     Property = "two changes on one base are never both confirmed"
	NothingLost             Property = "nothing confirmed is lost"
	NoStaleRead             Property = "no read is older than the newest confirmed configuration"
	OneLease                Property = "no two processes hold the lease at one time"
	CompleteLeader          Property = "a member without the whole state never leads"
	OldIdentity             Property = "a removed or wiped identity never counts"
	OneFleet                Property = "a fleet is founded once"
	OneVote                 Property = "a voter grants a term to one candidate only"
	Majority                Property = "a leader was granted its term by majorities of old and new voters"
	NoRejectionAfterConfirm Property = "an order that was taken is never refused when sent again"
	NoPanic                 Property = "the machine never panics"
	Progress                Property = "after healing a majority confirms again"
)

// Violation is a broken property.
type Violation struct {
	Property Property
	Detail   string
}

// Error tells which property is broken and how.
func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Property, v.Detail) }

// confirmation is a document that somebody was told is in force.
type confirmation struct {
	number  uint64
	body    string
	request int    // among the orders; -1 for none of them
	epoch   uint64 // in which it was confirmed
}

// grant is a durable vote: the term, the voter, and the candidate it voted for.
type grant struct {
	term             uint64
	voter, candidate string
}

// history is what operators and the fleet were told so far, and who was lost.
type history struct {
	confirmed      []confirmation
	calledRequests []int    // the order of each call, by its number less one
	lost           []string // wiped identities that the fleet may still count on
	wiped          []string // all wiped identities
	grants         []grant
	newVoters      []string // identities that were given a vote after the founding
	fleet          string   // of the first that led
	bootstrapped   bool     // somebody held the lease: the fleet is founded
}

func (h history) clone() history {
	return history{slices.Clip(h.confirmed), slices.Clip(h.calledRequests), slices.Clip(h.lost), slices.Clip(h.wiped), slices.Clip(h.grants), slices.Clip(h.newVoters), h.fleet, h.bootstrapped}
}

// recordCall notes a call for an order and gives its number.
func (h *history) recordCall(request int) uint64 {
	h.calledRequests = append(h.calledRequests, request)
	return uint64(len(h.calledRequests))
}

func (h *history) newestConfirmed() uint64 {
	newest := uint64(0)
	for _, c := range h.confirmed {
		newest = max(newest, c.number)
	}
	return newest
}

func (w *World) addViolation(property Property, format string, args ...any) {
	if w.violation == nil {
		w.violation = &Violation{property, fmt.Sprintf(format, args...)}
	}
}

// checkReply checks what an operator is told.
func (w *World) checkReply(processIndex int, call uint64, body any, err error) {
	if call == 0 || call > uint64(len(w.history.calledRequests)) {
		return
	}
	index := w.history.calledRequests[call-1]
	request := operatorRequests[index]
	if err == nil {
		if response, ok := body.(controlplane.PutConfigurationResponse); ok && response.Version != request.Number {
			w.addViolation(OneDocumentPerNumber, "order %s of number %d was confirmed as %d", request.Name, request.Number, response.Version)
		}
		w.recordConfirmed(processIndex, request.Number, request.Body)
		return
	}
	taken := slices.ContainsFunc(w.history.confirmed, func(c confirmation) bool { return c.request == index })
	if taken && isRejection(err) {
		w.addViolation(NoRejectionAfterConfirm, "order %s was confirmed and is refused by %s when sent again: %v", request.Name, w.processes[processIndex].name, err)
	}
}

// isRejection tells whether an error says that an order was not and won't be taken, and
// that sending it again is of no use.
func isRejection(err error) bool {
	for _, unclear := range []errs.Kind{errs.OutcomeUnknown, errs.NotReady, errs.Busy, errs.DeadlineExceeded} {
		if errs.Is(err, unclear) {
			return false
		}
	}
	return true
}

// checkPublished checks what the fleet is told.
func (w *World) checkPublished(processIndex int, update machine.Update) {
	if update.Key != state.ConfigurationKey {
		return
	}
	var version state.Version
	if json.Unmarshal(update.Value, &version) == nil {
		w.recordConfirmed(processIndex, version.Number, string(version.Body))
	}
}

// recordConfirmed notes that a document is in force.
func (w *World) recordConfirmed(processIndex int, number uint64, body string) {
	recorded := confirmation{number: number, body: body, epoch: w.processes[processIndex].epoch}
	recorded.request = slices.IndexFunc(operatorRequests, func(o Request) bool { return o.Number == number && o.Body == body })
	for _, other := range w.history.confirmed {
		switch {
		case other.number == number && other.body == body:
			return
		case other.number == number:
			w.addViolation(OneDocumentPerNumber, "number %d has %s and %s", number, other.body, body)
		case recorded.request >= 0 && other.request >= 0 && operatorRequests[recorded.request].HasBase && operatorRequests[other.request].HasBase && operatorRequests[recorded.request].Base == operatorRequests[other.request].Base:
			w.addViolation(OneSuccessorPerBase, "orders %s and %s build on %d", operatorRequests[other.request].Name, operatorRequests[recorded.request].Name, operatorRequests[recorded.request].Base)
		}
	}
	w.history.confirmed = append(w.history.confirmed, recorded)
}

// hasDocument tells whether a core's state has a confirmed document.
func hasDocument(core *controlplane.Core, c confirmation) bool {
	version, ok := core.State().Version(c.number)
	return ok && (len(version.Body) == 0 || string(version.Body) == c.body)
}

// readLatest asks a process for the latest configuration: what it answers, and whether it
// holds the lease that it answers under. Asking changes nothing.
func (w *World) readLatest(p *process) (latest uint64, leased bool) {
	if !p.up || p.paused || !p.isServing || p.endsProbation(w.now) {
		return 0, false
	}
	const call = 1 << 40
	for _, effect := range p.machine(w.config).Do(controlplane.Call{Number: call, Body: controlplane.ConfigurationsRequest{Latest: true}}, w.now) {
		answer, ok := effect.(machine.Reply)
		if !ok || answer.Call != call {
			continue
		}
		if configurations, ok := answer.Body.(controlplane.ConfigurationsResponse); ok && len(configurations.Versions) == 1 {
			return configurations.Versions[0].Number, true
		}
		return 0, errs.Is(answer.Err, errs.NotFound)
	}
	return 0, false
}

// leaseHolders are the processes that would serve a read now.
func (w *World) leaseHolders() []*process {
	var leaseHolders []*process
	for _, p := range w.processes {
		if _, leased := w.readLatest(p); leased {
			leaseHolders = append(leaseHolders, p)
		}
	}
	return leaseHolders
}

// checkProperties looks at the state for broken properties.
func (w *World) checkProperties() {
	if w.violation != nil {
		return
	}
	var leaseHolders []*process
	for _, p := range w.processes {
		latest, leased := w.readLatest(p)
		if !leased {
			continue
		}
		leaseHolders = append(leaseHolders, p)
		if newest := w.history.newestConfirmed(); latest < newest {
			w.addViolation(NoStaleRead, "%s answers a read with version %d; %d is confirmed", p.name, latest, newest)
		}
	}
	if len(leaseHolders) > 1 {
		w.addViolation(OneLease, "%s (epoch %d) and %s (epoch %d) would both serve a read", leaseHolders[0].name, leaseHolders[0].epoch, leaseHolders[1].name, leaseHolders[1].epoch)
	}
	for _, p := range w.processes {
		if p.up && p.isPrimary {
			w.checkElection(p)
			w.checkLeader(p, slices.Contains(leaseHolders, p))
		}
	}
	w.history.bootstrapped = w.history.bootstrapped || len(leaseHolders) > 0
	if len(leaseHolders) == 1 {
		w.recordVoters(leaseHolders[0])
		w.forgetReplacedLosses(leaseHolders[0])
	}
}

// checkLeader has a leader hold all that was confirmed before its epoch; one that has
// the lease, all that was ever confirmed.
func (w *World) checkLeader(p *process, leased bool) {
	for _, c := range w.history.confirmed {
		if c.epoch >= p.epoch && !leased || hasDocument(p.machine(w.config), c) {
			continue
		}
		if leased {
			w.addViolation(NothingLost, "%s leads in epoch %d with the lease and lacks version %d %s, confirmed in epoch %d", p.name, p.epoch, c.number, c.body, c.epoch)
		} else {
			w.addViolation(CompleteLeader, "%s leads in epoch %d and lacks version %d %s, confirmed in epoch %d", p.name, p.epoch, c.number, c.body, c.epoch)
		}
	}
}

// voteUnit is the unit of a core's vote on its disk.
const voteUnit = "oath"

// recordVotes notes the durable votes among some records.
func (w *World) recordVotes(p *process, records []machine.Record) {
	for _, record := range records {
		var vote election.Vote
		if record.Unit != voteUnit || json.Unmarshal(record.Body, &vote) != nil || vote.Pending.IsZero() {
			continue
		}
		if vote.Committed.Epoch >= vote.Term {
			continue // it tells what others made complete, and is no vote
		}
		recorded := grant{vote.Term, p.id(), vote.Pending.Primary.ID}
		for _, other := range w.history.grants {
			if other.term == recorded.term && other.voter == recorded.voter && other.candidate != recorded.candidate {
				w.addViolation(OneVote, "%s voted for %s and for %s in term %d", recorded.voter, other.candidate, recorded.candidate, recorded.term)
			}
		}
		if !slices.Contains(w.history.grants, recorded) {
			w.history.grants = append(w.history.grants, recorded)
		}
	}
}

// checkElection has majorities of the voters before and under a new term grant it.
func (w *World) checkElection(p *process) {
	vote := p.machine(w.config).Vote()
	if vote.Term != p.epoch || vote.Committed.Epoch >= p.epoch {
		return // it leads no more, or its term is complete
	}
	for _, voters := range [][]election.CoreRef{vote.Voters, vote.PendingVoters} {
		granted := 0
		for _, voter := range voters {
			if slices.Contains(w.history.grants, grant{p.epoch, voter.ID, p.id()}) {
				granted++
			}
		}
		if 2*granted <= len(voters) && len(voters) > 0 {
			w.addViolation(Majority, "%s leads in epoch %d by %d of %d votes", p.name, p.epoch, granted, len(voters))
		}
	}
}

// checkSender has no message speak for an identity whose disk was wiped.
func (w *World) checkSender(m message) {
	from := ""
	switch body := m.body.(type) {
	case election.VoteResponse:
		from = body.From
	case election.CommitAck:
		from = body.From
	}
	if from != "" && slices.Contains(w.history.wiped, from) {
		w.addViolation(OldIdentity, "%s answers a %s as %s, whose disk was wiped", m.from, m.kind(), from)
	}
}

// forgetReplacedLosses takes the wiped members off the losses once the fleet no longer counts on
// them: the leader's members and voters are all others, and enough hold the state.
func (w *World) forgetReplacedLosses(leader *process) {
	if len(w.history.lost) == 0 {
		return
	}
	for _, id := range w.countedIdentities(leader) {
		if slices.Contains(w.history.lost, id) {
			return
		}
	}
	w.history.lost = nil
}

// recordVoters notes the fleet, and the voters that it did not begin with.
func (w *World) recordVoters(leader *process) {
	fleet := leader.machine(w.config).Vote().Fleet
	if w.history.fleet != "" && fleet != w.history.fleet {
		w.addViolation(OneFleet, "%s leads fleet %s; fleet %s was founded", leader.name, fleet, w.history.fleet)
	}
	w.history.fleet = fleet
	for _, voter := range leader.machine(w.config).Vote().Voters {
		first := slices.ContainsFunc(w.processes[:w.config.Voters], func(p *process) bool { return "core-"+p.name == voter.ID })
		if !first && !slices.Contains(w.history.newVoters, voter.ID) {
			w.history.newVoters = append(w.history.newVoters, voter.ID)
		}
	}
}

// countedIdentities are the identities that a leader's last complete group and its voters name.
func (w *World) countedIdentities(leader *process) []string {
	vote := leader.machine(w.config).Vote()
	ids := vote.Committed.IDs()
	for _, voter := range vote.Voters {
		ids = append(ids, voter.ID)
	}
	return ids
}
