package queue

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

func TestLongCallsDoNotBlockShortCalls(t *testing.T) {
	q := New(Config{Slots: 4, LongShare: 0.5})
	for i := range uint64(6) {
		q.Push(Item{ID: i, Lane: Long, DeadlineUs: 9_000_000, ServiceUs: 2_000_000})
	}
	started := 0
	for {
		if _, ok := q.Next(10); !ok {
			break
		}
		started++
	}
	if got, want := started, 2; got != want {
		t.Fatalf("%d long calls run on 4 slots, want %d", got, want)
	}
	q.Push(Item{ID: 9, Lane: Short, DeadlineUs: 1_000_000, ServiceUs: 50_000})
	if got, ok := q.Next(20); !ok || got.ID != 9 {
		t.Errorf("got %v %v, want the short call", got, ok)
	}
}

func TestLongCallIsNotStarvedByShortCalls(t *testing.T) {
	q := New(Config{Slots: 1, LongShare: 0.5})
	q.Push(Item{ID: 1, Lane: Long, DeadlineUs: 8_000_000, ServiceUs: 1_000_000})
	for now := int64(0); now < 4_000_000; now += 50_000 {
		q.Push(Item{ID: uint64(now + 2), Lane: Short, ArrivedUs: now, DeadlineUs: now + 1_000_000, ServiceUs: 50_000})
		item, ok := q.Next(now)
		if ok && item.Lane == Long {
			return
		}
		if ok {
			q.Done(item.Lane)
		}
	}
	t.Error("the long call never started")
}

// No call is lost or started twice, no more calls run than there are slots, and
// the queue is not stuck while all slots are free.
func TestNoCallIsLostOrStartedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), LongShare: 0.5, FIFO: rapid.Bool().Draw(t, "fifo")}
		q := New(cfg)
		waiting := make(map[uint64]bool)
		var running []Lane
		now := int64(0)
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += 1000
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0, 1:
				q.Push(Item{ID: id, Lane: Lane(rapid.IntRange(0, 1).Draw(t, "lane")), ArrivedUs: now, DeadlineUs: now + 5000})
				waiting[id] = true
			case 2:
				if item, ok := q.Next(now); ok {
					if !waiting[item.ID] {
						t.Fatalf("call %d started twice or never pushed", item.ID)
					}
					delete(waiting, item.ID)
					running = append(running, item.Lane)
				} else if len(waiting) > 0 && len(running) == 0 {
					t.Fatalf("nothing runs and %d wait", len(waiting))
				}
			default:
				if len(running) > 0 {
					q.Done(running[0])
					running = running[1:]
				}
			}
			if got, limit := q.Running(), cfg.Slots; got > limit {
				t.Fatalf("%d running on %d slots", got, limit)
			}
			if got, want := q.Waiting(), len(waiting); got != want {
				t.Fatalf("%d waiting, want %d", got, want)
			}
		}
	})
}
