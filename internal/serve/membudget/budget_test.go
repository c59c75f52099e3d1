package membudget

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a sum above the limit, bytes that are lost or counted twice, and an
// account below its guaranteed share that is refused because others hold the rest.
func TestReservationsAreExactAndFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1<<20).Draw(t, "limit")
		accounts := rapid.IntRange(1, 6).Draw(t, "accounts")
		b := New(limit)
		b.SetAccounts(accounts)
		guaranteed := limit / 2 / int64(accounts)
		want := make(map[string]int64)
		holds := make([]*Hold, 3*accounts)
		for i := range holds {
			holds[i] = b.Hold(fmt.Sprint(i % accounts))
			if i >= 2*accounts {
				holds[i] = b.HoldSparing(fmt.Sprint(i % accounts))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			n, before := rapid.Int64Range(0, limit+1).Draw(t, "bytes"), h.Bytes()
			err := h.Resize(n)
			if err == nil {
				want[h.account] += n - before
			} else if h.Bytes() != before {
				t.Fatalf("a refused hold has %d bytes, want %d", h.Bytes(), before)
			}
			part := guaranteed
			if h.spare {
				part -= guaranteed / spareRatio
			}
			if after := want[h.account] - before + n; err != nil && (n <= before || after <= part) {
				t.Fatalf("refused %d bytes of %d that are guaranteed: %v", after, part, err)
			}
			sum := int64(0)
			for _, used := range want {
				sum += used
			}
			if got := b.Used(); got != sum || got > limit {
				t.Fatalf("%d bytes are held, want %d and at most %d", got, sum, limit)
			}
		}
		for _, h := range holds {
			h.Close()
		}
		if b.Used() != 0 || b.lent != 0 || len(b.accounts) != 0 {
			t.Fatalf("%d bytes, %d lent and %d accounts are left, want none", b.Used(), b.lent, len(b.accounts))
		}
	})
}

// Guards against an account that goes on taking memory above its equal share while there
// is little left.
func TestAccountAboveShareGetsNothingMore(t *testing.T) {
	b := New(1000)
	b.SetAccounts(4)
	large, small := b.Hold("large"), b.Hold("small")
	if err := small.Resize(10); err != nil {
		t.Fatal(err)
	}
	got := int64(0)
	for large.Resize(got+10) == nil {
		got += 10
	}
	if want := int64(500); got != want {
		t.Errorf("the large account got %d bytes, want %d", got, want)
	}
	var full *FullError
	if err := large.Resize(got + 1); !errors.As(err, &full) || full.Share != 500 {
		t.Errorf("error %v, want a FullError with share 500", err)
	}
	if err := small.Resize(125); err != nil {
		t.Errorf("the small account was refused below its share: %v", err)
	}
}

// Guards against an account that may not use free memory although no other needs it.
func TestSingleAccountMayBorrow(t *testing.T) {
	b := New(1000)
	b.SetAccounts(4)
	h := b.Hold("a")
	if err := h.Resize(625); err != nil {
		t.Errorf("the only account was refused its part and all that is lent: %v", err)
	}
	if err := h.Resize(626); err == nil {
		t.Error("the only account got what is guaranteed to others")
	}
}

// Guards against answers to slow callers that leave no memory to new requests of their account.
func TestSparingHoldLeavesPart(t *testing.T) {
	b := New(1000)
	b.SetAccounts(2)
	other, answers, bodies := b.Hold("b"), b.HoldSparing("a"), b.Hold("a")
	if err := other.Resize(500); err != nil {
		t.Fatal(err)
	}
	got := int64(0)
	for answers.Resize(got+1) == nil {
		got++
	}
	if err := bodies.Resize(62); err != nil {
		t.Errorf("beside answers of %d bytes a body was refused: %v", got, err)
	}
	if want := int64(438); got != want {
		t.Errorf("answers got %d bytes, want %d", got, want)
	}
}

// Guards against counts that go wrong when the document gets other accounts while memory is held.
func TestNumberOfAccountsChanges(t *testing.T) {
	b := New(1000)
	h := b.Hold("a")
	if err := h.Resize(700); err != nil {
		t.Fatal(err)
	}
	b.SetAccounts(10)
	if err := h.Resize(701); err == nil {
		t.Error("more was lent than there is")
	}
	if err := b.Hold("b").Resize(50); err != nil {
		t.Errorf("a new account was refused its part: %v", err)
	}
	h.Close()
	if got, want := b.lent, int64(0); got != want {
		t.Errorf("%d bytes are lent, want %d", got, want)
	}
}

// Guards against lost updates.
func TestHoldsAreConcurrent(t *testing.T) {
	b := New(1 << 20)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			h := b.Hold(fmt.Sprint(i % 3))
			for n := range int64(1000) {
				_ = h.Resize(n << 8)
			}
			h.Close()
		})
	}
	wg.Wait()
	if got := b.Used(); got != 0 {
		t.Errorf("%d bytes are left, want none", got)
	}
}

// Guards against a list without bound, and one that misses the largest account.
func TestAboveNamesTheLargest(t *testing.T) {
	b := New(1000)
	b.SetAccounts(4)
	// The largest comes first: once the others hold something, its share is smaller.
	for _, held := range []Excess{{"a", 450}, {"b", 10}, {"c", 10}} {
		if err := b.Reserve(held.Account, held.Bytes); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := fmt.Sprint(b.Above(2)), "[{a 117}]"; got != want {
		t.Errorf("above their share: %s, want %s", got, want)
	}
	if got := b.Above(0); len(got) != 0 {
		t.Errorf("%v, want at most 0", got)
	}
}

// BenchmarkReserve shows that the cost does not grow with the accounts.
func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{1, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			budget := New(1 << 30)
			budget.SetAccounts(n)
			for i := range n {
				if err := budget.Reserve(fmt.Sprint(i), 1); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if err := budget.Reserve("0", 4096); err != nil {
					b.Fatal(err)
				}
				budget.Release("0", 4096)
			}
		})
	}
}
