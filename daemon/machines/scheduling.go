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

// Scheduling is what edges and stores have in common: the scheduler, the quota, and
// the directory of members.
type Scheduling struct {
	Wire      *machine.Wire
	Scheduler *scheduler.Scheduler
	Quota     *quota.Quota
	// ParsePlan turns a confirmed document into a plan.
	ParsePlan config.Reader
	self      string
	members   map[string]identity.Member
}

func newScheduling(self string, set scheduler.Settings, seed int64, waiting func(r *Scheduling) func(string) int) *Scheduling {
	r := &Scheduling{Wire: machine.NewWire(), Scheduler: scheduler.New(set, seed), ParsePlan: config.Parse, self: self, members: map[string]identity.Member{}}
	r.Quota = quota.New(self, r.Wire, r.Members, waiting(r))
	return r
}

// Members is the directory in the agreed order.
func (r *Scheduling) Members() []identity.Member {
	out := make([]identity.Member, 0, len(r.members))
	for _, member := range r.members {
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// turn is this daemon's place among those of its kind in the order of their ids,
// from 0 to 1; stores begin half a step later than edges.
func (r *Scheduling) turn() float64 {
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

// updateHandlers has what is done with each kind of update, by the first part of its
// key.
var updateHandlers = map[string]func(r *Scheduling, update machine.Update, now clock.Micros){
	identity.KeyKind: func(r *Scheduling, update machine.Update, _ clock.Micros) {
		if member, ok := identity.Decode(update.Value); ok && member.Status >= identity.Dead {
			delete(r.members, member.ID)
		} else if ok {
			r.members[member.ID] = member
		}
		r.Scheduler.SetServerOffset(r.turn())
	},
	state.PlanKey: func(r *Scheduling, update machine.Update, now clock.Micros) {
		var version state.Version
		if json.Unmarshal(update.Value, &version) != nil {
			return
		}
		plan, err := r.ParsePlan(version.Body)
		if err != nil {
			r.Wire.Emit(machine.Explain{What: "a confirmed plan can't be read here; the one before stays", Fields: map[string]any{"version": version.Number, "why": err.Error()}})
			return
		}
		plan.Version = version.Number
		r.Scheduler.SetPlan(plan, now)
		r.Wire.Emit(machine.Explain{What: "plan in force", Fields: map[string]any{"version": version.Number}})
	},
	registry.ServerKind: func(r *Scheduling, update machine.Update, _ clock.Micros) {
		var server registry.Server
		if json.Unmarshal(update.Value, &server) == nil {
			r.Scheduler.SetServer(server)
		}
	},
	registry.LoadKind: func(r *Scheduling, update machine.Update, _ clock.Micros) {
		var load registry.Load
		if json.Unmarshal(update.Value, &load) == nil {
			r.Scheduler.SetLoad(strings.TrimPrefix(update.Key, registry.LoadPrefix), update.Epoch, load)
		}
	},
}

func (r *Scheduling) receive(update machine.Update, now clock.Micros) {
	message, _, _ := strings.Cut(update.Key, "/")
	if act, ok := updateHandlers[message]; ok {
		act(r, update, now)
	}
}

// Fresh tells up to when this daemon's updates are complete.
func (r *Scheduling) Fresh(at, now clock.Micros) []machine.Effect {
	r.Scheduler.SetFresh(at)
	return r.finish(now)
}

// finish ends a step: what can be assigned is, and the effects are returned.
func (r *Scheduling) finish(now clock.Micros) []machine.Effect {
	r.Scheduler.Settle(now)
	return r.Wire.Drain()
}
