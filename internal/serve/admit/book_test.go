package admit

import (
	"errors"
	"testing"
	"time"
)

func request(account string, weight float64, us float64, long bool) *Request {
	return &Request{
		Account: account, Weight: weight, Deadline: time.Second,
		Stages: []Stage{{Pool: Pool{Name: "p", Long: long}, ServiceUs: us}},
	}
}

func ten(string) float64 { return 10 }

func TestRefusesWhatCannotEndInTime(t *testing.T) {
	b := NewBook()
	var admitted []*Request
	for {
		r := request("a", 1, 50_000, false)
		if err := b.Admit(r, 0.5, ten); err != nil {
			break
		}
		admitted = append(admitted, r)
	}
	if got, want := len(admitted), 161; got != want {
		t.Errorf("%d admitted, want %d: 800 ms of work ahead on ten slots", got, want)
	}
	b.Leave(admitted[0])
	if err := b.Admit(request("a", 1, 50_000, false), 0.5, ten); err != nil {
		t.Errorf("refused after one had left: %v", err)
	}
}

// Long work does not count as a wait for short work.
func TestLanesAreBookedApart(t *testing.T) {
	b := NewBook()
	for range 5 {
		r := request("a", 1, 2_000_000, true)
		r.Deadline = 8 * time.Second
		if err := b.Admit(r, 0.5, ten); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Admit(request("b", 1, 50_000, false), 0.5, ten); err != nil {
		t.Errorf("short work refused behind long work: %v", err)
	}
}

func TestCrowdedFleetIsSharedByWeight(t *testing.T) {
	b := NewBook()
	small := request("small", 1, 50_000, false)
	if err := b.Admit(small, 0.5, ten); err != nil {
		t.Fatal(err)
	}
	var refused *RefusedError
	for {
		if err := b.Admit(request("large", 1, 50_000, false), 0.5, ten); err != nil {
			if !errors.As(err, &refused) {
				t.Fatal(err)
			}
			break
		}
	}
	if got, want := refused.Fair, true; got != want {
		t.Errorf("fair %v, want %v", got, want)
	}
	if err := b.Admit(request("small", 1, 50_000, false), 0.5, ten); err != nil {
		t.Errorf("the account below its share was refused: %v", err)
	}
}
