package explore

import "testing"

func BenchmarkBreadthFirst(b *testing.B) {
	for range b.N {
		BreadthFirst(&Config{Voters: 3, Losses: -1, Limits: DefaultLimits()}, Bounds{Depth: 4, States: 8000})
	}
}
