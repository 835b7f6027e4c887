package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/registry"
)

// model is a model server in virtual time: slots, a speed, and a cache of
// prefixes.
type model struct {
	name  string
	free  []clock.Micros // when each slot is free
	ends  []clock.Micros
	speed clock.Micros
	cache []string
	work  clock.Micros
}

// run takes an order and tells when it ends and whether its prefix was cached.
func (m *model) run(now clock.Micros, prefix string) (clock.Micros, bool) {
	at := 0
	for i := range m.free {
		if m.free[i] < m.free[at] {
			at = i
		}
	}
	hit := slices.Contains(m.cache, prefix)
	m.cache = append(slices.DeleteFunc(m.cache, func(one string) bool { return one == prefix }), prefix)
	if len(m.cache) > 4 {
		m.cache = m.cache[1:]
	}
	took := m.speed
	if !hit {
		took += 40 * clock.Millisecond
	}
	end := max(now, m.free[at]) + took
	m.free[at] = end
	m.ends = append(m.ends, end)
	m.work += took
	return end, hit
}

func (m *model) load(now clock.Micros) int {
	m.ends = slices.DeleteFunc(m.ends, func(end clock.Micros) bool { return end <= now })
	return len(m.ends)
}

type figures struct {
	orders, hits int
	p99          clock.Micros
	uneven       float64 // the busiest server's work over the mean
}

// live lets six daemons assign to twelve uneven servers for a quarter of a minute of
// virtual time, with the scorers weighed as given.
func live(t *testing.T, seed int64, weights string) figures {
	t.Helper()
	plan, err := config.Parse([]byte(`{"classes":[{"name":"a","rank":1,"allowance":1}],"customers":[{"name":"c","key":"k","class":"a"}],"pools":[{"name":"p","labels":{"u":"x"},"servers":{}}],
	 "routes":[{"name":"r","kind":"one-shot","classes":{},"pools":{"u":"x"},"model":"m"}],"judges":` + weights + `}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	plan.Version = 1
	route, _ := plan.Route("r")
	now := clock.Micros(10_000_000)
	chance := rand.New(rand.NewSource(seed))
	servers := map[string]*model{}
	var names []string
	for i := 0; i < 12; i++ {
		m := &model{name: fmt.Sprintf("s%02d", i), free: make([]clock.Micros, 4), speed: clock.Micros(40+10*(i%3)) * clock.Millisecond}
		servers[m.name], names = m, append(names, m.name)
	}
	type started struct {
		id         int
		arrived    clock.Micros
		prefix     string
		assignment *Assignment
	}
	starts := make(chan started, 4096)
	var daemons []*Scheduler
	for i := 0; i < 6; i++ {
		d := New(Defaults(), seed*100+int64(i))
		d.SetPlan(plan, now)
		for _, name := range names {
			d.SetServer(registry.Server{Name: name, Slots: 4})
		}
		daemons = append(daemons, d)
	}
	type running struct {
		end        clock.Micros
		began      clock.Micros
		assignment *Assignment
	}
	var open []running
	var latencies []clock.Micros
	var out figures
	next := map[string]clock.Micros{}
	for step := 0; step < 3000; step++ {
		now += 5 * clock.Millisecond
		open = slices.DeleteFunc(open, func(r running) bool {
			if r.end <= now {
				r.assignment.Release(r.end-r.began, true, now)
			}
			return r.end <= now
		})
		for _, name := range names {
			if now >= next[name] {
				load := servers[name].load(now)
				next[name] = now + 400*clock.Millisecond
				if 2*load >= 4 {
					next[name] = now + 100*clock.Millisecond
				}
				for _, d := range daemons {
					d.SetLoad(name, 1, registry.Load{Running: load, Sound: true, At: now})
				}
			}
		}
		for _, d := range daemons {
			d.SetFresh(now)
			for chance.Float64() < 0.22 {
				out.orders++
				id, arrived, prefix := out.orders, now, fmt.Sprint(chance.Intn(24)*chance.Intn(24)/24)
				o := &Order{ID: fmt.Sprint(id), Customer: "c", Route: route, Rank: 1, Prefix: prefix}
				o.Start = func(assignment *Assignment, _ clock.Micros) { starts <- started{id, arrived, prefix, assignment} }
				o.Drop = func(error, clock.Micros) {}
				if err := d.Submit(o, now); err != nil {
					t.Fatal(err)
				}
			}
			before := d.Assigned
			d.Match(now)
			var batch []started
			for n := d.Assigned - before; n > 0; n-- {
				batch = append(batch, <-starts)
			}
			sort.Slice(batch, func(i, j int) bool { return batch[i].id < batch[j].id })
			for _, s := range batch {
				end, hit := servers[s.assignment.Server.Name].run(now, s.prefix)
				if hit {
					out.hits++
				}
				latencies = append(latencies, end-s.arrived)
				open = append(open, running{end, now, s.assignment})
			}
		}
	}
	slices.Sort(latencies)
	out.p99 = latencies[len(latencies)*99/100]
	total, most := clock.Micros(0), clock.Micros(0)
	for _, m := range servers {
		total, most = total+m.work, max(most, m.work)
	}
	out.uneven = float64(most) * 12 / float64(total)
	return out
}

// The scorers together, against fewer of them: affinity to prefixes finds more
// cached ones, and does not overload a server or lengthen the worst waits.
func TestJudgesTogether(t *testing.T) {
	sum := func(weights string) (out figures) {
		for seed := int64(1); seed <= 3; seed++ {
			one := live(t, seed, weights)
			out.orders, out.hits = out.orders+one.orders, out.hits+one.hits
			out.p99, out.uneven = max(out.p99, one.p99), max(out.uneven, one.uneven)
		}
		t.Logf("%-55s %d orders, hits %.0f%%, p99 %d ms, unevenness %.2f", weights, out.orders, 100*float64(out.hits)/float64(out.orders), out.p99/1000, out.uneven)
		return out
	}
	all := sum(`{}`)
	blind := sum(`{"prefix":0}`)
	greedy := sum(`{"prefix":50,"fullness":1}`)
	if float64(all.hits) < 1.15*float64(blind.hits) {
		t.Errorf("affinity found %d cached prefixes, without it %d", all.hits, blind.hits)
	}
	if all.p99 > blind.p99*11/10 || all.uneven > 1.6 {
		t.Errorf("affinity: p99 %d against %d us, unevenness %.2f", all.p99, blind.p99, all.uneven)
	}
	if greedy.orders != all.orders {
		t.Errorf("not the same orders: %d and %d", greedy.orders, all.orders)
	}
}
