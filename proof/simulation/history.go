package simulation

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprudder/kernel/clock"
)

// The histories of plans and of claimed keys are checked for one order that
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
		held, order, out := state.(string), input.(string), output.(claimOutput)
		switch {
		case out.unknown && held == "":
			return []any{"", order}
		case out.unknown:
			return []any{held}
		case held == "" && out.winner == order:
			return []any{order}
		case held != "" && out.winner == held:
			return []any{held}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}

// entered is one try to hand a bundle in, or one look at it.
type entered struct {
	look, found, repeated, unknown bool
}

// ledgerModel is one bundle in its ledger: absent, then present for good. A
// receipt that says 'repeated' needs an earlier entry, one that does not, none.
var ledgerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		present, out := state.(bool), output.(entered)
		switch {
		case out.look && out.found == present:
			return []any{present}
		case out.look:
			return nil
		case out.unknown && !present:
			return []any{false, true}
		case out.unknown, out.repeated && present:
			return []any{true}
		case !out.repeated && !present:
			return []any{true}
		}
		return nil
	},
	Equal: func(one, other any) bool { return one == other },
}

// Entry is a bundle's operation as its caller saw it.
type Entry struct {
	ID           string
	Called, Told clock.Micros
	entered
}

// CheckHistories looks for those orders; each history that has none is a breach.
func (v *Watch) CheckHistories() {
	switch porcupine.CheckOperationsTimeout(planModel.ToModel(), v.planOperations(), 20*time.Second) {
	case porcupine.Illegal:
		v.breach(inForce, "no order of the plans explains what their operators were told")
	case porcupine.Unknown:
		v.Undecided++
		v.w.Note("the checker did not decide the history of the plans in time")
	}
	byBundle := map[string][]porcupine.Operation{}
	for i, e := range v.Entries {
		end := int64(e.Told)
		if e.Told == 0 || e.unknown {
			e.unknown, end = true, math.MaxInt64
			if e.look {
				continue
			}
		}
		byBundle[e.ID] = append(byBundle[e.ID], porcupine.Operation{ClientId: i, Input: e.ID, Call: int64(e.Called), Output: e.entered, Return: end})
	}
	for _, id := range sorted(byBundle) {
		if result := porcupine.CheckOperationsTimeout(ledgerModel.ToModel(), byBundle[id], 20*time.Second); result == porcupine.Illegal {
			v.breach(kept, "no order of its ledger explains what the callers of bundle %s were told", id)
		}
	}
	byKey := map[string][]porcupine.Operation{}
	for i, c := range v.Claims {
		out := claimOutput{winner: c.Winner, unknown: c.Unknown}
		end := int64(c.Told)
		if c.Told == 0 || c.Unknown {
			out.unknown, end = true, math.MaxInt64
		} else if c.Refused {
			continue
		}
		byKey[c.Key] = append(byKey[c.Key], porcupine.Operation{ClientId: i, Input: c.Order, Call: int64(c.Called), Output: out, Return: end})
	}
	for _, key := range sorted(byKey) {
		if result := porcupine.CheckOperationsTimeout(claimModel.ToModel(), byKey[key], 20*time.Second); result == porcupine.Illegal {
			v.breach(onceOnly, "no order explains who won the key %s", key)
		}
	}
}
