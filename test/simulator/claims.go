package simulator

import (
	"fmt"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// ClaimAttempt is one claim as its edge saw it.
type ClaimAttempt struct {
	Key, RequestID       string
	CalledAt, AnsweredAt clock.Micros
	Won                  bool
	Winner               string
	Unknown              bool
	Rejected             bool
}

// maxClaimAttempts is how often one request claims its key.
const maxClaimAttempts = 6

// claimer is one of the requests that claim a key.
type claimer struct {
	workload  *Workload
	key       string
	requestID string
	attempts  int
}

// ContendForKey claims one key for two requests at two edges.
func (v *Workload) ContendForKey() {
	v.lastNumber++
	key := fmt.Sprintf("claim-%d", v.lastNumber)
	for i := range 2 {
		v.PendingCalls++
		c := &claimer{workload: v, key: key, requestID: fmt.Sprintf("%s/%d", key, i)}
		v.world.After(v.world.randomBetween(0, 50)*clock.Millisecond, c.attempt)
	}
}

// attempt claims the key at the store that owns its shard.
func (c *claimer) attempt() {
	v := c.workload
	n := v.randomEdge()
	c.attempts++
	if n == nil || c.attempts > maxClaimAttempts {
		v.PendingCalls--
		return
	}
	shardNumber, owner, err := n.edge.Reader.Locate(shard.ClaimID(defaultTenant, c.key))
	if err != nil {
		c.attemptLater()
		return
	}
	claim := &ClaimAttempt{Key: c.key, RequestID: c.requestID, CalledAt: v.world.Now}
	v.ClaimAttempts = append(v.ClaimAttempts, claim)
	request := batchstore.ClaimRequest{
		Shard:   shardNumber,
		Claim:   shard.Claim{Tenant: defaultTenant, Key: c.key, Hash: "h", RequestID: c.requestID},
		Timeout: 3 * clock.Second,
	}
	v.world.Call(n, owner.Peer, request, 4*clock.Second, func(response any, err error) { c.answered(claim, response, err) })
}

func (c *claimer) attemptLater() {
	w := c.workload.world
	w.After(w.randomBetween(50, 600)*clock.Millisecond, c.attempt)
}

// answered records a claim's answer, and claims the key again where there is no winner yet.
func (c *claimer) answered(claim *ClaimAttempt, response any, err error) {
	v := c.workload
	claim.AnsweredAt = v.world.Now
	got, ok := response.(batchstore.ClaimResponse)
	switch {
	case err == nil && ok:
		claim.Won, claim.Winner = got.Yours, got.Claim.RequestID
		if known := v.claimWinners[c.key]; known != "" && known != claim.Winner {
			v.reportViolation(runsAtMostOnce, "claim %s was won by %s and by %s", c.key, known, claim.Winner)
		}
		v.claimWinners[c.key] = claim.Winner
		v.PendingCalls--
		return
	case errs.Is(err, errs.OutcomeUnknown):
		claim.Unknown = true
	default:
		claim.Rejected = true
	}
	c.attemptLater()
}
