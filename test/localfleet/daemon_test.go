package localfleet

import (
	"slices"
	"testing"
)

func TestFreeAddressSkipsTakenAddresses(t *testing.T) {
	const draws = 2000
	var taken []string
	for range draws {
		address, err := freeAddress("127.0.0.1", taken...)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(taken, address) {
			t.Fatalf("freeAddress returned %s twice", address)
		}
		taken = append(taken, address)
	}
}
