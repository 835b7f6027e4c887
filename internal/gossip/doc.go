// Package gossip keeps a daemon's directory of members and its table of versioned updates, and
// spreads both through the fleet (docs/DESIGN.md, section 3). Each concept has its file:
//
//   - dissemination.go: an update that is new here is sent on to Fanout peers; a large one is
//     announced by its version, and who lacks it fetches it once
//   - anti_entropy.go: digests of all versions are compared with one peer at a time, which closes
//     the gaps that dissemination leaves
//   - partial_view.go: the few peers to talk to, shuffled between neighbours
//   - directory.go: the members, and what updates about them mean
//   - failure_detection.go: probes, indirect probes and suspicion
//   - voters.go, freshness.go, broadcast.go: up to when the updates here are complete, and when
//     an update counts as delivered; both need a weighted majority of the voters (section 3.4)
//
// Failure detection follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002): probe, indirect probe through
// other members, suspicion that the suspect may refute. SWIM's incarnation number is
// membership.Member.Statement here; Incarnation counts a daemon's restarts. Unlike in SWIM,
// silence alone raises no suspicion: some indirect prober has to report that it could not reach
// the member either. A daemon that is itself cut off gets no such report and suspects nobody.
//
// A Node is a pure state machine: its inputs are Commands with the time, its outputs are effects
// (machine.Send, machine.Reply, machine.UpdateReceived, machine.Freshness, machine.LogEvent). It
// is not safe for concurrent use: the event loop calls it from one goroutine at a time. What the
// updates say is no business of this package, except those about members; which of them name the
// voters is given to it (VoterSource).
package gossip
