package capacitymodel

import (
	"slices"

	"tuliprudder/internal/clock"
)

// ageSamples are the ages of the daemons' updates, sampled twice a second.
type ageSamples struct {
	ages       []clock.Micros
	staleCount int
}

// sampleUpdateAges takes a sample of every daemon that is up.
func (f *Fleet) sampleUpdateAges() {
	for _, d := range f.daemons {
		if !d.up {
			continue
		}
		age := f.Now - max(d.gossip.FreshUntil(), d.bootedAt)
		f.updateAges.ages = append(f.updateAges.ages, age)
		if age > staleAfter {
			f.updateAges.staleCount++
		}
	}
}

// staleShare is the share of samples that were stale.
func (s ageSamples) staleShare() float64 {
	if len(s.ages) == 0 {
		return 0
	}
	return float64(s.staleCount) / float64(len(s.ages))
}

// quantile is the age that a share of the samples is below.
func (s ageSamples) quantile(q float64) clock.Micros {
	if len(s.ages) == 0 {
		return 0
	}
	ages := slices.Clone(s.ages)
	slices.Sort(ages)
	return ages[min(len(ages)-1, int(q*float64(len(ages))))]
}
