// Package faultinject takes a running fleet through a failure while callers call, and
// judges (DESIGN §9).
package faultinject

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/core/state"
	"tuliprudder/kernel/settings"
	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

// Settings of a run; a deployment's file gives most.
type Settings struct {
	Name, Plan             string
	Zones, Edges, Stores   int64
	Cores, Servers, Items  int64
	Slots, Pieces, PieceUS int64
	LiveKeys, BundleKey    string
	BundleRoute            string
	Workers, Bundles       int64
	PaceUS, Seed           int64
	Fault                  string
	Race, Keep             bool
	Zone                   string
	Patience               time.Duration // to read a bundle whole; 0: the callers' own
}

// BuildWords are the compiler's words for the build.
func (s *Settings) BuildWords() []string {
	var words []string
	if s.Race {
		words = append(words, "-race")
	}
	if s.Fault == "stall-disk" {
		// A disk can't be stalled from outside: these stores can hold writes back.
		os.Setenv("TULIPRUDDER_PLANT", "stall")
		words = append(words, "-tags", "planted")
	}
	return words
}

// Flags hangs the settings on a reader.
func (s *Settings) Flags(r *settings.Reader) {
	r.Flags.StringVar(&s.Name, "name", "camp", "name of the deployment")
	r.Flags.StringVar(&s.Plan, "plan", "deploy/ghent.plan.json", "the plan to put")
	r.Int(&s.Zones, "zones", 3, 2, 16, "zones")
	r.Int(&s.Edges, "edges", 3, 1, 64, "edge daemons")
	r.Int(&s.Stores, "stores", 3, 2, 32, "store daemons")
	r.Int(&s.Cores, "cores", 3, 3, 3, "core daemons")
	r.Int(&s.Servers, "servers", 3, 1, 64, "model servers")
	r.Int(&s.Items, "items", 20, 1, 1000, "items of a bundle")
	r.Int(&s.Slots, "server-slots", 8, 1, 1000, "slots of a server")
	r.Int(&s.Pieces, "pieces", 6, 1, 64, "pieces of an answer")
	r.Int(&s.PieceUS, "piece-us", 4000, 0, 1_000_000, "time for a piece")
	r.Flags.StringVar(&s.LiveKeys, "live-keys", "key-buyers,key-sellers", "keys of live callers")
	r.Flags.StringVar(&s.BundleKey, "bundle-key", "key-notes", "key of the caller of bundles")
	r.Flags.StringVar(&s.BundleRoute, "bundle-route", "seller-notes", "route of bundles")
	r.Int(&s.Workers, "workers", 12, 0, 1000, "live callers at once")
	r.Int(&s.Bundles, "bundles", 40, 0, 100_000, "bundles to hand in")
	r.Int(&s.PaceUS, "pace-us", 250_000, 0, 60_000_000, "between two bundles")
	r.Int(&s.Seed, "seed", 1, 0, 1<<40, "seed of the callers' choices")
	r.Flags.StringVar(&s.Fault, "fault", "none", "failure to cause: "+strings.Join(Faults(), ", "))
	r.Flags.BoolVar(&s.Race, "race", false, "build with the race detector")
	r.Flags.BoolVar(&s.Keep, "keep", false, "keep the files and say where they are")
	r.Check(func() {
		if _, ok := faults[s.Fault]; !ok {
			r.Fault("-fault %q: no such failure; one of %s", s.Fault, strings.Join(Faults(), ", "))
		}
	})
}

// Spec is the fleet the settings describe.
func (s *Settings) Spec() localfleet.Spec {
	return localfleet.Spec{Name: s.Name, Zones: int(s.Zones), Edges: int(s.Edges), Stores: int(s.Stores), Cores: int(s.Cores), Servers: int(s.Servers),
		Items: int(s.Items), Plan: s.Plan, Pieces: int(s.Pieces), PieceUS: s.PieceUS, Slots: int(s.Slots)}
}

// Tour is the callers the settings describe.
func (s *Settings) Tour(edges func() []string) *verify.Tour {
	return &verify.Tour{Edges: edges, Seed: s.Seed, LiveKeys: strings.Split(s.LiveKeys, ","), BundleKey: s.BundleKey, BundleRoute: s.BundleRoute,
		Items: int(s.Items), Pieces: int(s.Pieces), LiveWorkers: int(s.Workers), Bundles: int(s.Bundles), Pace: time.Duration(s.PaceUS) * time.Microsecond, Patience: s.Patience}
}

type scene struct {
	ctx    context.Context
	c      *localfleet.Camp
	set    Settings
	leaves []verify.Leave
	tours  []*verify.Tour // others' than the run's own
}

// faults are the failures that can be caused, by name.
var faults = map[string]func(s *scene) error{
	"none":         func(*scene) error { return nil },
	"kill-writer":  func(s *scene) error { return s.crash(s.busiest, 4*time.Second, false) },
	"wipe-writer":  func(s *scene) error { return s.crash(s.busiest, 4*time.Second, true) },
	"freeze-store": func(s *scene) error { return s.freeze(s.busiest, 9*time.Second) },
	"kill-primary": func(s *scene) error { return s.crash(s.primary, 4*time.Second, false) },
	"wipe-primary": func(s *scene) error { return s.crash(s.primary, 4*time.Second, true) },
	"freeze-core":  func(s *scene) error { return s.freeze(s.primary, 9*time.Second) },
	"restart-edge": func(s *scene) error { return s.crash(s.edge, time.Second, false) },
	"freeze-edge":  func(s *scene) error { return s.freeze(s.edge, 6*time.Second) },
	"drain-edge":   func(s *scene) error { return s.drain(s.edge) },
	"drain-store":  func(s *scene) error { return s.drain(s.busiest) },
	"swap-store":   func(s *scene) error { return s.swap(s.busiest) },
	"swap-core":    func(s *scene) error { return s.swap(s.primary) },
	"cut-store":    func(s *scene) error { return s.cut(s.busiest, 6*time.Second) },
	"cut-core":     func(s *scene) error { return s.cut(s.primary, 6*time.Second) },
	"dark-server":  func(s *scene) error { return s.server("dark", 6*time.Second) },
	"cut-server":   func(s *scene) error { return s.server("cut", 4*time.Second) },
	"kill-server":  func(s *scene) error { return s.crash(s.anyServer, 3*time.Second, false) },
	"leave-server": func(s *scene) error { return s.leave() },
	"all-cores":    func(s *scene) error { return s.allCores() },
	"all-stores":   func(s *scene) error { return s.allStores() },
	"zone":         func(s *scene) error { return s.zone(s.set.zone(), 8*time.Second) },
	"zone-cut":     func(s *scene) error { return s.cutZone(s.set.zone(), 8*time.Second) },
	"zone-wipe":    func(s *scene) error { return s.wipeZone(s.set.zone(), 4*time.Second) },
	"add-store":    func(s *scene) error { return s.add() },
	"retire-store": func(s *scene) error { return s.retire() },
	"exchange":     func(s *scene) error { return s.exchange() },
	"roll-servers": func(s *scene) error { return s.roll(4) },
	"stall-disk":   func(s *scene) error { return s.stall(10 * time.Second) },
	"roll-daemons": func(s *scene) error { return s.release() },
	"flock-kill":   func(s *scene) error { return s.flockAndLoss() },
	"flock":        func(s *scene) error { return s.flock() },
}

// Faults lists the names.
func Faults() []string {
	out := make([]string, 0, len(faults))
	for name := range faults {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Run lets callers call, causes the failure, and judges.
func Run(ctx context.Context, c *localfleet.Camp, set Settings) (verify.Verdict, error) {
	tour := set.Tour(func() []string {
		var out []string
		for _, name := range c.Names("edge") {
			out = append(out, c.Get(name).HTTP)
		}
		return out
	})
	tour.Quiet = set.Fault == "none"
	s := &scene{ctx: ctx, c: c, set: set}
	office := operate(ctx, c)
	accounts := audit(ctx, c)
	done := make(chan struct{})
	go func() { defer close(done); tour.Run(ctx) }()
	var failed error
	if set.Fault != "none" {
		select {
		case <-time.After(2 * time.Second):
			failed = faults[set.Fault](s)
		case <-done:
		}
	}
	<-done
	if failed != nil {
		return verify.Verdict{}, errors.Wrap(failed, "causing the failure")
	}
	if err := readBack(c); err != nil {
		return verify.Verdict{}, err
	}
	var files []string
	for _, name := range c.Names("modelserver") {
		files = append(files, c.StartsFile(name))
	}
	starts, err := verify.ReadStarts(files)
	if err != nil {
		return verify.Verdict{}, err
	}
	verdict := tour.Judge(starts, s.leaves)
	verdict.Promises = append(verdict.Promises, office(), accounts())
	if set.Workers > 0 && set.Bundles > 8 {
		unseen(verdict.Promises, set.Fault)
	}
	for _, other := range s.tours {
		more := other.Judge(starts, s.leaves)
		for _, promise := range more.Promises {
			promise.Name = "flock: " + promise.Name
			verdict.Promises = append(verdict.Promises, promise)
		}
		for name, count := range more.Counts {
			verdict.Counts["flock: "+name] = count
		}
	}
	return verdict, nil
}

// mayMiss lists what a run need not put to the test, by the beginning of the
// promise's name; the failure that causes it must.
var mayMiss = map[string]map[string]bool{
	"a leaving server": {"leave-server": true, "roll-servers": true},
}

// unseen makes a breach of every promise that the run had to put to the test and
// did not: a verdict of nothing proves nothing.
func unseen(promises []verify.Promise, fault string) {
	for i := range promises {
		p := &promises[i]
		must := true
		for name, causes := range mayMiss {
			if strings.HasPrefix(p.Name, name) {
				must = causes[fault]
			}
		}
		if must && p.Checked == 0 {
			p.Breaches = append(p.Breaches, "the run did not put it to the test")
		}
	}
}

// readBack reads every plan version back at the end of the day.
func readBack(c *localfleet.Camp) error {
	edge := c.Names("edge")[0]
	return localfleet.Until(15*time.Second, func() error {
		var list struct {
			Plans []struct {
				Version uint64 `json:"version"`
			} `json:"plans"`
		}
		if err := c.Ask(edge, http.MethodGet, "/v1/operator/plans", nil, &list); err != nil {
			return err
		}
		for _, plan := range list.Plans {
			if err := c.Ask(edge, http.MethodGet, fmt.Sprintf("/v1/operator/plans/%d", plan.Version), nil, nil); err != nil {
				return err
			}
		}
		if len(list.Plans) == 0 {
			return errors.New("no plan can be read back")
		}
		return nil
	})
}

func (s *scene) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

func (s *scene) ask(path string, into any) error {
	var err error
	for _, edge := range s.c.Names("edge") {
		if err = s.c.Ask(edge, http.MethodGet, path, nil, into); err == nil {
			return nil
		}
	}
	return err
}

// byPeer finds a daemon's name by its address.
func (s *scene) byPeer(peer string) (string, error) {
	for _, name := range s.c.Names("") {
		if s.c.Get(name).Peer == peer {
			return name, nil
		}
	}
	return "", errors.Errorf("no daemon at %s", peer)
}

// busiest is the store that owns most slots.
func (s *scene) busiest() (string, error) {
	var m state.Map
	if err := s.ask("/v1/operator/map", &m); err != nil {
		return "", err
	}
	owned := map[string]int{}
	best := ""
	for _, pairing := range m.Slots {
		owned[pairing.Owner.ID]++
		if best == "" || owned[pairing.Owner.ID] > owned[best] {
			best = pairing.Owner.ID
		}
	}
	return s.byPeer(m.Stores[best].Peer)
}

func (s *scene) primary() (string, error) {
	var core state.CoreNews
	if err := s.ask("/v1/operator/core", &core); err != nil {
		return "", err
	}
	return s.byPeer(core.Peer)
}

func (s *scene) edge() (string, error)      { return s.c.Names("edge")[0], nil }
func (s *scene) anyServer() (string, error) { return s.c.Names("modelserver")[0], nil }

type pick func() (string, error)

func (s *scene) crash(who pick, down time.Duration, wipe bool) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.c.Kill(name)
	if wipe {
		if err := s.c.Wipe(name); err != nil {
			return err
		}
	}
	s.wait(down)
	return s.c.Run(name)
}

func (s *scene) freeze(who pick, span time.Duration) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.c.Freeze(name)
	s.wait(span)
	s.c.Thaw(name)
	return nil
}

func (s *scene) drain(who pick) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.c.Stop(name)
	s.wait(time.Second)
	return s.c.Run(name)
}

func (s *scene) swap(who pick) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.c.Kill(name)
	if err := s.c.Wipe(name); err != nil {
		return err
	}
	_, err = s.c.Swap(name, name+"b")
	return err
}

func (s *scene) cut(who pick, span time.Duration) error {
	name, err := who()
	if err != nil {
		return err
	}
	s.c.CutOff(name, true)
	s.wait(span)
	s.c.CutOff(name, false)
	return nil
}

func (s *scene) server(mode string, span time.Duration) error {
	name, _ := s.anyServer()
	set := func(mode string) error {
		return s.c.Ask(name, http.MethodPost, "/control", map[string]string{"mode": mode}, nil)
	}
	if err := set(mode); err != nil {
		return err
	}
	s.wait(span)
	return set("")
}

func (s *scene) leave() error {
	name, _ := s.anyServer()
	edges := s.c.Names("edge")
	if err := s.c.Ask(edges[len(edges)-1], http.MethodPost, "/v1/operator/servers/"+name+"/leaving", []byte(`{"leaving":true}`), nil); err != nil {
		return err
	}
	s.leaves = append(s.leaves, verify.Leave{Server: name, From: time.Now().UnixMicro()})
	return nil
}

func (s *scene) allOf(kind string) error {
	names := s.c.Names(kind)
	for _, name := range names {
		s.c.Kill(name)
	}
	s.wait(time.Second)
	for _, name := range names {
		if err := s.c.Run(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) allCores() error  { return s.allOf("core") }
func (s *scene) allStores() error { return s.allOf("store") }

// zone kills every daemon and server of a zone, then brings them back.
func (s *scene) zone(zone string, down time.Duration) error {
	var names []string
	for _, name := range s.c.Names("") {
		if d := s.c.Get(name); d.Zone == zone {
			names = append(names, name)
			s.c.Kill(name)
		}
	}
	s.wait(down)
	for _, name := range names {
		if err := s.c.Run(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) zone() string {
	if s.Zone != "" {
		return s.Zone
	}
	return "zone-1"
}

// cutZone cuts every link between a zone and the rest; its daemons live on.
func (s *scene) cutZone(zone string, span time.Duration) error {
	set := func(cut bool) {
		for _, one := range s.c.Names("") {
			for _, other := range s.c.Names("") {
				if s.c.Get(one).Zone == zone && s.c.Get(other).Zone != zone {
					s.c.Cut(one, other, cut)
				}
			}
		}
	}
	set(true)
	s.wait(span)
	set(false)
	return nil
}

// wipeZone kills a zone's store and empties its disk, and kills all else there.
func (s *scene) wipeZone(zone string, down time.Duration) error {
	var names []string
	for _, name := range s.c.Names("") {
		d := s.c.Get(name)
		if d.Zone != zone {
			continue
		}
		names = append(names, name)
		s.c.Kill(name)
		if d.Kind == "store" {
			if err := s.c.Wipe(name); err != nil {
				return err
			}
		}
	}
	s.wait(down)
	for _, name := range names {
		if err := s.c.Run(name); err != nil {
			return err
		}
	}
	return nil
}

// flock hands many bundles in at every edge at the same moment.
func (s *scene) flock() error {
	tour := s.set.Tour(func() []string {
		var out []string
		for _, name := range s.c.Names("edge") {
			out = append(out, s.c.Get(name).HTTP)
		}
		return out
	})
	tour.Seed, tour.LiveWorkers, tour.Pace, tour.Bundles, tour.MostTries = s.set.Seed+7_000_000, 0, 0, 200, 3
	tour.Run(s.ctx)
	s.tours = append(s.tours, tour)
	return nil
}

// add starts one more store and waits until slots have moved to it; its seeds
// are edges and a store, no core.
func (s *scene) add() error {
	edges := s.c.Names("edge")
	if err := s.c.Add("store", "store-new", "zone-1", []string{edges[0], edges[len(edges)-1], s.c.Names("store")[0]}); err != nil {
		return err
	}
	peer := s.c.Get("store-new").Peer
	return localfleet.Until(60*time.Second, func() error {
		var m state.Map
		if err := s.ask("/v1/operator/map", &m); err != nil {
			return err
		}
		owned := 0
		for _, pairing := range m.Slots {
			if m.Stores[pairing.Owner.ID].Peer == peer && pairing.Complete {
				owned++
			}
		}
		if owned < 2 {
			return errors.Errorf("the new store owns %d slots", owned)
		}
		return nil
	})
}

// retire empties the busiest store, waits until nothing depends on it, and ends
// it. Then retiring another has to be refused if the rest would be in one zone.
func (s *scene) retire() error {
	name, err := s.busiest()
	if err != nil {
		return err
	}
	var m state.Map
	if err := s.ask("/v1/operator/map", &m); err != nil {
		return err
	}
	byName := map[string]string{}
	for id, store := range m.Stores {
		if found, err := s.byPeer(store.Peer); err == nil {
			byName[found] = id
		}
	}
	edge := s.c.Names("edge")[0]
	empty := func(id string) error {
		var got struct {
			Retired bool `json:"retired"`
			Left    int  `json:"slots_left"`
		}
		if err := s.c.Ask(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, &got); err != nil {
			return err
		}
		if !got.Retired {
			return errors.Errorf("%d slots depend on it", got.Left)
		}
		return nil
	}
	if err := localfleet.Until(60*time.Second, func() error { return empty(byName[name]) }); err != nil {
		return err
	}
	s.c.Kill(name)
	if err := s.c.Ask(edge, http.MethodPost, "/v1/operator/stores/nobody/retire", nil, nil); err == nil || !strings.Contains(err.Error(), "not_found") {
		return errors.Errorf("an unknown store was retired: %v", err)
	}
	if len(s.c.Names("store")) == 3 {
		for other, id := range byName {
			if other == name {
				continue
			}
			if err := s.c.Ask(edge, http.MethodPost, "/v1/operator/stores/"+id+"/retire", nil, nil); err == nil || !strings.Contains(err.Error(), "turned_away") {
				return errors.Errorf("the last but one store was retired: %v", err)
			}
		}
	}
	return nil
}

// exchange replaces all three cores by empty ones at new addresses, one after
// the other, so that every seed that was ever given is dead. Then a store comes
// back with its old seeds, by the addresses it learnt, and an edge with new ones.
func (s *scene) exchange() error {
	for _, old := range s.c.Names("core") {
		s.c.Kill(old)
		if err := s.c.Wipe(old); err != nil {
			return err
		}
		fresh, err := s.c.Swap(old, old+"x")
		if err != nil {
			return err
		}
		if err := localfleet.Until(60*time.Second, func() error {
			var core state.CoreNews
			if err := s.ask("/v1/operator/core", &core); err != nil {
				return err
			}
			for _, peer := range core.Cores {
				if peer == fresh.Peer {
					return nil
				}
			}
			return errors.Errorf("%s has no seat yet", fresh.Name)
		}); err != nil {
			return err
		}
		s.wait(time.Second)
	}
	store := s.c.Names("store")[0]
	s.c.Kill(store)
	if err := s.c.Run(store); err != nil {
		return err
	}
	edges := s.c.Names("edge")
	s.c.Kill(edges[0])
	s.c.Reseed(edges[0], s.c.Names("core"))
	if err := s.c.Run(edges[0]); err != nil {
		return err
	}
	if err := localfleet.Until(60*time.Second, func() error { return s.c.Ask(store, http.MethodGet, "/ready", nil, nil) }); err != nil {
		return errors.Wrap(err, "the store with its old seeds")
	}
	return localfleet.Until(60*time.Second, func() error { return s.c.Ask(edges[0], http.MethodGet, "/ready", nil, nil) })
}

// roll replaces servers one by one, as a release does: marked as leaving, left
// until nothing may start there any more, replaced, and marked as staying.
func (s *scene) roll(count int) error {
	edges := s.c.Names("edge")
	names := s.c.Names("modelserver")
	for i := 0; i < min(count, len(names)-1); i++ {
		name, edge := names[i], edges[i%len(edges)]
		mark := func(leaving bool) error {
			return s.c.Ask(edge, http.MethodPost, "/v1/operator/servers/"+name+"/leaving", map[string]bool{"leaving": leaving}, nil)
		}
		if err := mark(true); err != nil {
			return err
		}
		leave := verify.Leave{Server: name, From: time.Now().UnixMicro()}
		s.wait(4 * time.Second)
		s.c.Kill(name)
		if err := s.c.Run(name); err != nil {
			return err
		}
		if err := localfleet.Until(30*time.Second, func() error { return s.c.Ask(name, http.MethodGet, "/health", nil, nil) }); err != nil {
			return err
		}
		leave.To = time.Now().UnixMicro()
		s.leaves = append(s.leaves, leave)
		if err := mark(false); err != nil {
			return err
		}
	}
	return nil
}

// stall holds back every write of the busiest store's disk for a span.
func (s *scene) stall(span time.Duration) error {
	name, err := s.busiest()
	if err != nil {
		return err
	}
	mark := filepath.Join(s.c.Get(name).Data, "STALL")
	if err := os.WriteFile(mark, nil, 0o644); err != nil {
		return errors.Wrap(err, "stalling a disk")
	}
	s.wait(span)
	return errors.Wrap(os.Remove(mark), "letting a disk go on")
}

// release drains and starts every daemon in turn, as a release of them does;
// each has to be ready before the next one goes.
func (s *scene) release() error {
	for _, kind := range []string{"store", "core", "edge"} {
		for _, name := range s.c.Names(kind) {
			s.c.Stop(name)
			if err := s.c.Run(name); err != nil {
				return err
			}
			if err := localfleet.Until(60*time.Second, func() error { return s.c.Ask(name, http.MethodGet, "/ready", nil, nil) }); err != nil {
				return errors.Wrap(err, name)
			}
			s.wait(time.Second)
		}
	}
	return nil
}

// flockAndLoss lets a flock come while edges, the holders of accounts among them,
// are killed and come back one after the other.
func (s *scene) flockAndLoss() error {
	flock := make(chan error, 1)
	go func() { flock <- s.flock() }()
	for _, name := range s.c.Names("edge") {
		s.wait(500 * time.Millisecond)
		s.c.Kill(name)
		if err := s.c.Run(name); err != nil {
			return err
		}
	}
	return <-flock
}
