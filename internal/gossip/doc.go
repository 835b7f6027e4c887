// Package gossip maintains a daemon's directory of members and its table of versioned updates, and
// disseminates both through the fleet (docs/DESIGN.md, section 3). Each concept has its file:
//
//   - dissemination.go: a new update is forwarded to Fanout peers; of a large one only the version is
//     announced, and daemons that lack it fetch it once
//   - anti_entropy.go: digests of all versions are compared with one peer at a time, which repairs
//     what dissemination misses
//   - partial_view.go: the few peers that a daemon communicates with, shuffled between peers
//   - directory.go: the members, and the handling of updates about them
//   - failure_detection.go: probes, indirect probes and suspicion
//   - voters.go, freshness.go, broadcast.go: up to which time this daemon's updates are complete, and
//     when an update counts as delivered; both need a weighted majority of the voters (section 3.4)
//
// Failure detection follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002): probe, indirect probe through
// other members, suspicion that the suspect may refute. SWIM's incarnation number is
// membership.Member.Statement here; Incarnation counts a daemon's restarts. Unlike in SWIM, missing
// replies alone raise no suspicion: at least one indirect prober must report that it could not reach
// the member either. A daemon that is itself partitioned gets no such report and suspects nobody.
//
// A Node is a pure state machine: its inputs are Commands with the time, its outputs are effects
// (machine.Send, machine.Reply, machine.UpdateReceived, machine.Freshness, machine.LogEvent). It
// is not safe for concurrent use: the event loop calls it from one goroutine at a time. The values of
// updates are opaque to this package, except those about members; VoterSource tells it which updates
// name the voters and how to read them.
package gossip
