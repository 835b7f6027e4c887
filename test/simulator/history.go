package simulator

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprudder/internal/clock"
)

// The histories of configurations and of claimed keys are checked for one order that
// explains what every operator and every edge was told, those of unknown
// outcome included (DESIGN §9).

type claimOutput struct {
	winner  string
	unknown bool
}

// claimModel is one word that is written once.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		winner, requestID, out := state.(string), input.(string), output.(claimOutput)
		switch {
		case out.unknown && winner == "":
			return []any{"", requestID}
		case out.unknown:
			return []any{winner}
		case winner == "" && out.winner == requestID:
			return []any{requestID}
		case winner != "" && out.winner == winner:
			return []any{winner}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}

// batchOutput is one try to hand a batch in, or one look at it.
type batchOutput struct {
	isStatus, found, duplicate, unknown bool
}

// batchModel is one batch in its ledger: absent, then present for good. A
// acknowledgement that says 'repeated' needs an earlier entry, one that does not, none.
var batchModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		present, out := state.(bool), output.(batchOutput)
		switch {
		case out.isStatus && out.found == present:
			return []any{present}
		case out.isStatus:
			return nil
		case out.unknown && !present:
			return []any{false, true}
		case out.unknown, out.duplicate && present:
			return []any{true}
		case !out.duplicate && !present:
			return []any{true}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}

// BatchOperation is a batch's operation as its caller saw it.
type BatchOperation struct {
	ID                   string
	CalledAt, AnsweredAt clock.Micros
	batchOutput
}

// CheckHistories looks for those orders; each history that has none is a breach.
func (v *Workload) CheckHistories() {
	switch porcupine.CheckOperationsTimeout(configurationModel.ToModel(), v.configurationOperations(), 20*time.Second) {
	case porcupine.Illegal:
		v.reportViolation(configurationInForce, "no order of the plans explains what their operators were told")
	case porcupine.Unknown:
		v.UndecidedHistories++
		v.world.Tracef("the checker did not decide the history of the plans in time")
	}
	byBatch := map[string][]porcupine.Operation{}
	for i, op := range v.BatchOperations {
		end := int64(op.AnsweredAt)
		if op.AnsweredAt == 0 || op.unknown {
			op.unknown, end = true, math.MaxInt64
			if op.isStatus {
				continue
			}
		}
		byBatch[op.ID] = append(byBatch[op.ID], porcupine.Operation{ClientId: i, Input: op.ID, Call: int64(op.CalledAt), Output: op.batchOutput, Return: end})
	}
	for _, id := range sorted(byBatch) {
		if result := porcupine.CheckOperationsTimeout(batchModel.ToModel(), byBatch[id], 20*time.Second); result == porcupine.Illegal {
			v.reportViolation(batchKept, "no order of its ledger explains what the callers of bundle %s were told", id)
		}
	}
	byKey := map[string][]porcupine.Operation{}
	for i, c := range v.ClaimAttempts {
		out := claimOutput{winner: c.Winner, unknown: c.Unknown}
		end := int64(c.AnsweredAt)
		if c.AnsweredAt == 0 || c.Unknown {
			out.unknown, end = true, math.MaxInt64
		} else if c.Rejected {
			continue
		}
		byKey[c.Key] = append(byKey[c.Key], porcupine.Operation{ClientId: i, Input: c.RequestID, Call: int64(c.CalledAt), Output: out, Return: end})
	}
	for _, key := range sorted(byKey) {
		if result := porcupine.CheckOperationsTimeout(claimModel.ToModel(), byKey[key], 20*time.Second); result == porcupine.Illegal {
			v.reportViolation(runsAtMostOnce, "no order explains who won the key %s", key)
		}
	}
}
