package election

import "slices"

// CoreRef identifies a core.
type CoreRef struct {
	ID   string `json:"id"`
	Peer string `json:"peer"` // its address
	Zone string `json:"zone"`
}

// quorums are sets of voters; a majority of each set must agree (joint consensus). Any two terms
// that build on the same committed term then have a voter in common.
type quorums [][]CoreRef

// haveMajorities reports whether a majority of each set of voters agreed.
func (q quorums) haveMajorities(agreed map[string]bool) bool {
	for _, voters := range q {
		count := 0
		for _, ref := range voters {
			if agreed[ref.ID] {
				count++
			}
		}
		if count < majority(len(voters)) {
			return false
		}
	}
	return true
}

// voters lists the cores of all sets without duplicates.
func (q quorums) voters() []CoreRef {
	var out []CoreRef
	for _, voters := range q {
		for _, ref := range voters {
			if !isVoter(out, ref.ID) {
				out = append(out, ref)
			}
		}
	}
	return out
}

// majority returns the size of a majority of a number of voters.
func majority(voters int) int { return voters/2 + 1 }

// coveringReplicas returns how many of the voters must hold the control state so that every majority
// of them includes a replica.
func coveringReplicas(voters int) int { return voters - majority(voters) + 1 }

func isVoter(voters []CoreRef, id string) bool {
	return slices.ContainsFunc(voters, func(ref CoreRef) bool { return ref.ID == id })
}

// voterIDs returns the sorted IDs of voters.
func voterIDs(voters []CoreRef) []string {
	var ids []string
	for _, ref := range voters {
		ids = append(ids, ref.ID)
	}
	slices.Sort(ids)
	return ids
}

func sameVoters(one, other []CoreRef) bool { return slices.Equal(voterIDs(one), voterIDs(other)) }

func withoutVoter(voters []CoreRef, id string) []CoreRef {
	return slices.DeleteFunc(slices.Clone(voters), func(ref CoreRef) bool { return ref.ID == id })
}
