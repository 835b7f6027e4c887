package token

import (
	"testing"

	"tuliprudder/internal/errs"
)

func TestTokenRoundTripKeepsEveryPosition(t *testing.T) {
	for _, v := range []Vector{{}, {1: 7}, {1: 7, 2: 7, 3: 7}, {1: 100, 2: 3, 5: 1 << 40}, {4: 9}} {
		token := NewToken("fleet", v)
		back, err := Parse("fleet", token.String())
		if err != nil {
			t.Fatalf("%v: %v", v, err)
		}
		for writer := 1; writer <= 8; writer++ {
			if back.At(writer) != v[writer] {
				t.Fatalf("%v: the token has writer %d at %d", v, writer, back.At(writer))
			}
		}
	}
}

// A token consists of a minimum and the positions of only those writers that are ahead of it.
func TestTokenHoldsOnlyTheWritersAhead(t *testing.T) {
	token := NewToken("fleet", Vector{1: 50, 2: 50, 3: 61, 4: 50})
	if token.Minimum != 50 || len(token.Ahead) != 1 || token.Ahead[3] != 61 {
		t.Fatalf("the token is %+v", token)
	}
}

// A writer that registered after the token was created is read from its first result, not from the
// token's minimum, because its results may lie below that.
func TestWriterRegisteredAfterTokenIsReadFromItsStart(t *testing.T) {
	token := NewToken("fleet", Vector{1: 1000, 2: 2000})
	back, err := Parse("fleet", token.String())
	if err != nil {
		t.Fatal(err)
	}
	if at := back.At(3); at != 0 {
		t.Fatalf("writer 3 registered after the token and is read from %d, want 0", at)
	}
	if at := back.At(1); at != 1000 {
		t.Fatalf("writer 1 is read from %d, want 1000", at)
	}
}

func TestDamagedAndForeignTokensAreRejected(t *testing.T) {
	good := NewToken("fleet", Vector{1: 5, 2: 9}).String()
	if from, err := Parse("fleet", ""); err != nil || from.At(1) != 0 {
		t.Fatalf("the empty token is not accepted as the start: %v", err)
	}
	for i := range good {
		changed := []byte(good)
		if changed[i] == 'A' {
			changed[i] = 'B'
		} else {
			changed[i] = 'A'
		}
		if _, err := Parse("fleet", string(changed)); !errs.Is(err, errs.BadToken) {
			t.Fatalf("character %d changed: %v", i, err)
		}
		if _, err := Parse("fleet", good[:i]); i > 0 && !errs.Is(err, errs.BadToken) {
			t.Fatalf("truncated at %d: %v", i, err)
		}
	}
	if _, err := Parse("another", good); !errs.Is(err, errs.BadToken) {
		t.Fatalf("a token of another fleet: %v", err)
	}
}
