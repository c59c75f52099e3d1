package batcher

import (
	"context"
	"reflect"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
)

// Guards against a field that is lost on the way to the owner or back.
func TestAccountsTravelWithJobsAndResults(t *testing.T) {
	job := newJob("r", 2)
	job.Account, job.counted, job.asked = "north", true, map[string]int{"north": 2, "south": 40}
	if got := jobOf(job.pieceCall(1)); !reflect.DeepEqual(got, job) {
		t.Errorf("got job %+v, want %+v", got, job)
	}
	backlog := batching.Backlog{
		Ranks: []batching.RankWait{{Rank: 11, Wait: 2 * time.Second}},
		Total: 3 * time.Second,
		Below: []batching.RankWait{{Rank: 11, Wait: 100 * time.Millisecond}},
		Over: map[string]batching.AccountWait{
			"south": {Standing: fairshare.Above, OnTime: 4 * time.Second, Total: 5 * time.Second, Piece: 30 * time.Microsecond},
			"west":  {Standing: fairshare.Unmet, OnTime: time.Second, Total: 3 * time.Second},
		},
	}
	got := backlogOf(backlogMessage(backlog))
	if !reflect.DeepEqual(got, backlog) {
		t.Errorf("got backlog %+v, want %+v", got, backlog)
	}
	for account, want := range map[string][2]time.Duration{
		"north": {100 * time.Millisecond, 100 * time.Millisecond},
		"south": {4 * time.Second, 5 * time.Second},
		"west":  {time.Second, 3 * time.Second},
	} {
		if onTime, total := got.ForAccount(account, 11); onTime != want[0] || total != want[1] {
			t.Errorf("account %s waits %v and %v, want %v", account, onTime, total, want)
		}
	}
}

// Guards against an owner that does not learn what is asked for at other entries, and
// against an entry that goes on admitting an account that is over its share.
func TestOwnerAndEntriesKnowWhatAccountsAskFor(t *testing.T) {
	u := newFakeUpstream(t)
	p := newOwnerProcess(t, u)
	p.owner.cfg.Fair = func() bool { return true }
	r := newRouter(t, newOwner(t, 1<<40), "self", func() []string { return []string{p.server.Address()} })
	const refused = 10_000 // pieces, several times what the upstream does in the usage window
	r.Asked(Job{RequestID: "r0", Service: "scan", Account: "large", Pieces: refused})
	for range 2 {
		r.Asked(Job{RequestID: "r", Service: "scan", Account: "small", Pieces: 2})
		job := newJob("r", 2)
		job.Account = "small"
		checkCompleted(t, r.Do(context.Background(), job), "r", 2)
		time.Sleep(60 * time.Millisecond) // shares are kept for 50 ms
	}
	usages := p.owner.Usages(time.Now(), 8)
	if len(usages) != 2 || usages[0].Account != "large" || usages[0].Used != 0 || usages[0].Standing != fairshare.Unmet || usages[1].Account != "small" || usages[1].Used == 0 {
		t.Errorf("usages %+v, want large, which asks for more than its share and has used nothing, and small", usages)
	}
	for account, want := range map[string]fairshare.Standing{"large": fairshare.Unmet, "small": fairshare.Below} {
		if got := r.Standing("scan", "", account); got != want {
			t.Errorf("the entry knows account %s as %v its share, want %v", account, got, want)
		}
	}
}

// Guards against a job that counts twice, at its entry and at the owner, and against one
// that does not count because its entry counts nothing.
func TestJobsCountOnce(t *testing.T) {
	for counts, want := range map[bool]int{true: 3, false: 3} {
		o := newOwner(t, 1<<40, newFakeUpstream(t))
		o.cfg.Fair = func() bool { return true }
		r := newRouter(t, o, "self", func() []string { return []string{"self"} })
		for range 3 {
			if counts {
				r.Asked(Job{RequestID: "r", Service: "scan", Account: "north", Pieces: 1})
			}
			job := newJob("r", 1)
			job.Account = "north"
			checkCompleted(t, r.Do(context.Background(), job), "r", 1)
		}
		usage := o.Usages(time.Now(), 1)[0]
		if got := usage.Asked / (usage.Used / float64(want)); got < 2.9 || got > 3.1 {
			t.Errorf("counted %t: %.1f pieces are asked for, want %d", counts, got, want)
		}
	}
}
