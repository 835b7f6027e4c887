package simulation

import (
	"fmt"

	"tuliprudder/kernel/clock"
)

// allowances are the most that a customer may have waiting by the plans that may
// be in force now, or were while what waits was taken in.
func (v *Watch) allowance(who string) int {
	most := 40
	if who == customer {
		most = 0
		for _, number := range v.numbersSince(v.w.Now - 20*clock.Second) {
			most = max(most, 300+20*(number%4))
		}
	}
	return most
}

// countWaiting is the outside count of waiting work: what callers have handed in
// and have not been told is over, less what the servers' logs show started. An
// order counts once its caller has had no word for a second: before that it may
// be about to be turned away.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (v *Watch) countWaiting() {
	waiting := map[string]int{}
	open := v.open[:0]
	for _, o := range v.open {
		if o.Outcome == "" && len(o.Starts) == 0 {
			open = append(open, o)
			// What came to a frozen edge is in nobody's hands yet.
			n := v.w.Nodes[o.Edge]
			if unseen := n != nil && n.frozen && o.Asked >= n.ill; !unseen && v.w.Now-o.Asked > clock.Second {
				waiting[o.Customer]++
			}
		}
	}
	v.open = open
	where := func(who string) string {
		at := map[string]int{}
		for _, o := range open {
			if o.Customer == who && v.w.Now-o.Asked > clock.Second {
				at[o.Edge]++
			}
		}
		shares := ""
		for _, name := range v.w.names {
			if road := v.w.Nodes[name].road(); road != nil {
				shares += fmt.Sprintf(" %s %v", name, road.Quota.View(v.w.Now))
			}
		}
		return fmt.Sprintf("live at %v; shares%s", at, shares)
	}
	for _, h := range v.Bundles {
		if !h.Forwarded && h.Accepted > 0 && h.Ended == 0 && h.begun < h.Items {
			waiting[customer] += h.Items - h.begun
		}
	}
	for _, who := range sorted(waiting) {
		v.saw(within)
		v.MostWaiting[who] = max(v.MostWaiting[who], waiting[who])
		if most := v.allowance(who); most > 0 && waiting[who]*10 > most*11 {
			v.breach(within, "%d of %s wait; its allowance is %d: %s", waiting[who], who, most, where(who))
		}
	}
}
