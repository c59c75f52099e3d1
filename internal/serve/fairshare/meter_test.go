package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1_790_000_000, 0)

func TestLevel(t *testing.T) {
	for _, tt := range []struct {
		name     string
		demands  []float64
		capacity float64
		want     float64
	}{
		{"no demand", nil, 1, math.Inf(1)},
		{"capacity for all", []float64{1, 2, 3}, 6, math.Inf(1)},
		{"all ask for more", []float64{4, 5, 6}, 6, 2},
		{"what the small one leaves goes to the others", []float64{1, 4, 6}, 7, 3},
		{"in two rounds", []float64{1, 2.2, 9, 9}, 10, 3.4},
		{"accounts that ask for nothing", []float64{0, 0, 5}, 4, 4},
		{"no capacity", []float64{1, 2}, 0, 0},
	} {
		if got := Level(tt.demands, tt.capacity); math.Abs(got-tt.want) > 1e-9 && got != tt.want {
			t.Errorf("%s: got level %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against capacity that is shared out twice or left over: the shares add up to the
// capacity, or to all demands if it suffices.
func TestSharesAddUpToTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOf(rapid.Float64Range(0, 100)).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		level := Level(demands, capacity)
		shared, asked := 0.0, 0.0
		for _, d := range demands {
			shared += min(d, level)
			asked += d
		}
		if want := min(asked, capacity); math.Abs(shared-want) > 1e-6 {
			t.Fatalf("the shares add up to %v, want %v", shared, want)
		}
		if math.IsInf(level, 1) != (asked <= capacity+1e-9) && math.Abs(asked-capacity) > 1e-6 {
			t.Fatalf("level %v with %v asked for of %v", level, asked, capacity)
		}
	})
}

// play records one second of work for each account and updates the shares.
func play(m *Meter, now time.Time, asked, used map[string]float64, nominal float64, queued bool) {
	for account, s := range asked {
		m.Ask(now, account, time.Duration(s*float64(time.Second)))
	}
	for account, s := range used {
		m.Use(now, account, time.Duration(s*float64(time.Second)))
	}
	m.Update(now, nominal, queued)
}

// Guards against an account that pays for the overload of another, and against a standing
// that outlasts the overload.
func TestStandingFollowsDemand(t *testing.T) {
	m := NewMeter()
	now := t0
	for range 20 {
		now = now.Add(time.Second)
		play(m, now, map[string]float64{"small": 0.5, "middle": 2, "large": 5}, map[string]float64{"small": 0.5, "middle": 1, "large": 2.5}, 4, true)
	}
	for account, want := range map[string]Standing{"small": Below, "middle": Unmet, "large": Above, "unknown": Below} {
		if got := m.Standing(account); got != want {
			t.Errorf("account %s is %v its share, want %v", account, got, want)
		}
	}
	got := m.Usages(now, 2)
	if len(got) != 2 || got[0].Account != "large" || math.Abs(got[0].Share-1.75) > 0.3 || got[0].Borrowed < 0.5 {
		t.Errorf("usages %+v, want those of the two largest accounts, large with a share of 1.75 and at least 0.5 borrowed", got)
	}
	for range 20 {
		now = now.Add(time.Second)
		play(m, now, map[string]float64{"large": 3}, map[string]float64{"large": 3}, 4, false)
	}
	if m.Scarce() || m.Standing("large") != Below || m.Standing("middle") != Below {
		t.Errorf("scarce %t, standing of large %v after the overload, want none", m.Scarce(), m.Standing("large"))
	}
}

// Guards against sharing that does nothing where upstreams do less than they should, for
// example because they lack memory for results.
func TestSharedCapacityIsWhatWasDone(t *testing.T) {
	m := NewMeter()
	for i := range 20 {
		play(m, t0.Add(time.Duration(i)*time.Second), map[string]float64{"small": 0.3, "large": 3}, map[string]float64{"small": 0.3, "large": 1.9}, 4, true)
	}
	if got := m.Standing("large"); got == Below {
		t.Errorf("an account that asks for 3 of the 2.2 that are done is %v its share", got)
	}
}

// Guards against memory that grows with the accounts that once asked for something.
func TestIdleAccountsAreForgotten(t *testing.T) {
	m := NewMeter()
	for i := range 1000 {
		m.Ask(t0, fmt.Sprint(i), time.Second)
	}
	m.Update(t0.Add(5*time.Minute), 1, false)
	if got := len(m.accounts); got != 0 {
		t.Errorf("%d accounts are known after 5 minutes, want none", got)
	}
}

// BenchmarkUpdate shows how the cost of new shares grows with the accounts.
func BenchmarkUpdate(b *testing.B) {
	for _, accounts := range []int{16, 100, 400, 1600} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			m := NewMeter()
			for i := range accounts {
				m.Ask(t0, fmt.Sprint(i), time.Duration(i)*time.Hour)
			}
			now := t0.Add(time.Second)
			for b.Loop() {
				m.updated = time.Time{}
				m.Update(now, 1000, true)
			}
		})
	}
}
