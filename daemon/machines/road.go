package machines

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/core/config"
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
	"tuliprudder/path/quota"
	"tuliprudder/path/registry"
	"tuliprudder/path/scheduler"
)

// Road is what edges and stores have in common on the way to the servers: the
// backlog, the shares, and who is who.
type Road struct {
	Wire     *machine.Wire
	Dispatch *scheduler.Scheduler
	Purse    *quota.Quota
	// Read turns a confirmed document into a plan.
	Read    config.Reader
	self    string
	members map[string]identity.Member
}

func newRoad(self string, set scheduler.Settings, seed int64, waiting func(r *Road) func(string) int) *Road {
	r := &Road{Wire: machine.NewWire(), Dispatch: scheduler.New(set, seed), Read: config.Parse, self: self, members: map[string]identity.Member{}}
	r.Purse = quota.New(self, r.Wire, r.Folk, waiting(r))
	return r
}

// Folk is the directory in the agreed order.
func (r *Road) Folk() []identity.Member {
	out := make([]identity.Member, 0, len(r.members))
	for _, member := range r.members {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// turn is this daemon's place among those of its kind in the agreed order, from 0
// to 1; stores begin half a step later than edges.
func (r *Road) turn() float64 {
	mine, ok := r.members[r.self]
	if !ok {
		return 0
	}
	before, all := 0.0, 0.0
	for id, member := range r.members {
		if member.Kind == mine.Kind && member.Status <= identity.Suspect {
			all++
			if id < r.self {
				before++
			}
		}
	}
	if mine.Kind == identity.Store {
		before += 0.5
	}
	return before / max(1, all)
}

// heardBy says what the road does with each kind of updates.
var heardBy = map[string]func(r *Road, update machine.Update, now clock.Micros){
	"daemon": func(r *Road, update machine.Update, now clock.Micros) {
		if member, ok := identity.Decode(update.Value); ok && member.Status >= identity.Dead {
			delete(r.members, member.ID)
		} else if ok {
			r.members[member.ID] = member
		}
		r.Dispatch.SetTurn(r.turn())
	},
	state.PlanKey: func(r *Road, update machine.Update, now clock.Micros) {
		var version state.Version
		if json.Unmarshal(update.Value, &version) != nil {
			return
		}
		plan, err := r.Read(version.Body)
		if err != nil {
			r.Wire.Emit(machine.Explain{What: "a confirmed plan can't be read here; the one before stays", Fields: map[string]any{"version": version.Number, "why": err.Error()}})
			return
		}
		plan.Version = version.Number
		r.Dispatch.SetPlan(plan, now)
		r.Wire.Emit(machine.Explain{What: "plan in force", Fields: map[string]any{"version": version.Number}})
	},
	"server": func(r *Road, update machine.Update, now clock.Micros) {
		var server registry.Server
		if json.Unmarshal(update.Value, &server) == nil {
			r.Dispatch.SetServer(server)
		}
	},
	"load": func(r *Road, update machine.Update, now clock.Micros) {
		var load registry.Load
		if json.Unmarshal(update.Value, &load) == nil {
			r.Dispatch.SetLoad(strings.TrimPrefix(update.Key, "load/"), update.Epoch, load)
		}
	},
}

func (r *Road) hear(update machine.Update, now clock.Micros) {
	word, _, _ := strings.Cut(update.Key, "/")
	if act, ok := heardBy[word]; ok {
		act(r, update, now)
	}
}

// Fresh tells up to when this daemon's updates are within reach.
func (r *Road) Fresh(at, now clock.Micros) []machine.Effect {
	r.Dispatch.SetFresh(at)
	return r.settle(now)
}

// settle ends a step: the backlog is looked through, and the effects go out.
func (r *Road) settle(now clock.Micros) []machine.Effect {
	r.Dispatch.Settle(now)
	return r.Wire.Drain()
}
