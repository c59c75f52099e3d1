package admit

import (
	"errors"
	"testing"
	"time"
)

func request(account string, weight float64, us float64, long bool) *Request {
	return &Request{
		Account: account, Weight: weight, UntilDeadline: time.Second,
		Stages: []Stage{{Lane: Lane{Pool: "p", Long: long}, ServiceUs: us}},
	}
}

func tenSlots(string) float64 { return 10 }

func TestRefusesRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	c := NewController()
	var admitted []*Request
	for {
		r := request("a", 1, 50_000, false)
		if err := c.Admit(r, 0.5, tenSlots); err != nil {
			break
		}
		admitted = append(admitted, r)
	}
	if got, want := len(admitted), 161; got != want {
		t.Errorf("%d admitted, want %d: 800 ms of outstanding work on ten slots", got, want)
	}
	c.Release(admitted[0])
	if err := c.Admit(request("a", 1, 50_000, false), 0.5, tenSlots); err != nil {
		t.Errorf("refused after another request was released: %v", err)
	}
}

// Outstanding long work does not add to the expected wait of short work.
func TestLanesAreCountedSeparately(t *testing.T) {
	c := NewController()
	for range 5 {
		r := request("a", 1, 2_000_000, true)
		r.UntilDeadline = 8 * time.Second
		if err := c.Admit(r, 0.5, tenSlots); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Admit(request("b", 1, 50_000, false), 0.5, tenSlots); err != nil {
		t.Errorf("short work refused behind long work: %v", err)
	}
}

func TestAccountsShareByWeightUnderContention(t *testing.T) {
	c := NewController()
	small := request("small", 1, 50_000, false)
	if err := c.Admit(small, 0.5, tenSlots); err != nil {
		t.Fatal(err)
	}
	var refused *RefusedError
	for {
		if err := c.Admit(request("large", 1, 50_000, false), 0.5, tenSlots); err != nil {
			if !errors.As(err, &refused) {
				t.Fatal(err)
			}
			break
		}
	}
	if got, want := refused.OverShare, true; got != want {
		t.Errorf("over share %v, want %v", got, want)
	}
	if err := c.Admit(request("small", 1, 50_000, false), 0.5, tenSlots); err != nil {
		t.Errorf("the account below its share was refused: %v", err)
	}
}
