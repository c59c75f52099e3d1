package timeline

import (
	"testing"
	"time"
)

// Merged events are in causal order even if the wall clock of one process is
// behind.
func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	a := NewRecorder(Config{Process: "a", Clock: &Clock{Now: func() time.Time { return now }}})
	b := NewRecorder(Config{Process: "b", Clock: &Clock{Now: func() time.Time { return now.Add(-5 * time.Second) }}})
	a.Add("dispatch", "r", "")
	b.Clock().Observe(a.Clock().Next())
	b.Add("run", "r", "")
	a.Clock().Observe(b.Clock().Next())
	a.Add("answer", "r", "")
	merged := Merge(b.Events("r", 0), a.Events("r", 0))
	for i, want := range []string{"dispatch", "run", "answer"} {
		if got := merged[i].Kind; got != want {
			t.Errorf("event %d is %s, want %s", i, got, want)
		}
	}
}

func TestTimestampFarAheadIsIgnored(t *testing.T) {
	c := &Clock{}
	far := c.Next()
	far.WallMs += 10 * MaxClockSkew.Milliseconds()
	c.Observe(far)
	if got := c.Next().WallMs; got >= far.WallMs {
		t.Errorf("a timestamp far ahead advanced the local clock to %d", got)
	}
}

func TestRecorderKeepsNewestEvents(t *testing.T) {
	r := NewRecorder(Config{Process: "a", Capacity: 4})
	for range 10 {
		r.Add("x", "r", "")
	}
	events := r.Events("", 0)
	if got, want := len(events), 4; got != want {
		t.Fatalf("%d events, want %d", got, want)
	}
	if got, want := events[3].Seq, uint64(10); got != want {
		t.Errorf("newest event has sequence number %d, want %d", got, want)
	}
}
