package check

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

var update = flag.Bool("update", false, "write the golden files")

// sound returns a document without findings.
func sound() *site.Document {
	return &site.Document{
		Version: 7,
		Services: []site.Service{
			{Name: "llm", HealthPath: "/health", MaxConnections: 280, Engine: &site.Engine{Slots: 64, KVCacheTokens: 640_000}},
			{Name: "scan", Batching: &site.Batching{
				Slots: 1, Queue: 2, MaxBatch: 10, CallOverhead: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond,
				ResultMemoryBytes: 10_000_000, ResultTTL: 4 * time.Second,
			}},
		},
		Routes: []site.Route{
			{
				Name: "plans", Host: "a.example", Prefix: "/plans/", Kind: site.Streaming, Timeout: 10 * time.Second, Objective: time.Second,
				GapObjective: 400 * time.Millisecond, AbandonAfter: 4 * time.Second, MaxAttempts: 2, Resumable: true,
				Split:  []site.WeightedService{{Service: "llm", Weight: 1}},
				Stages: []site.Stage{{Service: "scan", ResultBytes: 800_000}, {Service: "scan", DependsOn: []int{0}, ResultBytes: 60_000}},
			},
			{Name: "stock", Host: "b.example:8080", Prefix: "/stock/", Kind: site.Safe, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 1, Split: []site.WeightedService{{Service: "llm", Weight: 1}}},
		},
		Accounts: []site.Account{{Name: "north", Keys: []string{"secret-1", "secret-2"}}, {Name: "south", Keys: []string{"secret-3"}}},
		Limits:   site.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func run(d, inForce *site.Document) Report {
	return Run(Input{Decode: func([]byte) (*site.Document, error) { return d, nil }, InForce: inForce})
}

func scan(d *site.Document) *site.Batching { return d.Services[1].Batching }

// TestRules guards against rules that miss their fault or report a sound document. Each case has
// a document with the fault and one that is as near to it as can be without it.
func TestRules(t *testing.T) {
	stageOf := func(d *site.Document) *site.Stage { return &d.Routes[0].Stages[0] }
	host := func(h string) func(*site.Document) { return func(d *site.Document) { d.Routes[0].Host = h } }
	prefix := func(p string) func(*site.Document) { return func(d *site.Document) { d.Routes[0].Prefix = p } }
	for _, tt := range []struct {
		rule         Rule
		entry, field string
		fault, near  func(*site.Document)
	}{
		{RuleRefused, "route stock", "timeout", func(d *site.Document) { d.Routes[1].Timeout = 0 }, func(d *site.Document) { d.Routes[1].Timeout = time.Second }},
		{RuleRefused, "route plans, stage 1", "inputs", func(d *site.Document) { d.Routes[0].Stages[1].DependsOn = []int{1} }, func(d *site.Document) { d.Routes[0].Stages[1].DependsOn = nil }},
		{RuleRefused, "route plans, stage 0", "inputs", func(d *site.Document) { stageOf(d).DependsOn = []int{-1} }, func(d *site.Document) { stageOf(d).DependsOn = []int{} }},
		{RuleRefused, "accounts north and south", "keys", func(d *site.Document) { d.Accounts[1].Keys = []string{"secret-2"} }, func(d *site.Document) { d.Accounts[1].Keys = []string{"Secret-2"} }},
		{RuleRefused, "service scan", "batch and slots", func(d *site.Document) { scan(d).Slots = 0 }, func(d *site.Document) { scan(d).Slots = 2 }},
		{RuleRefused, "route plans", "service", func(d *site.Document) { d.Routes[0].Service = "none" }, func(d *site.Document) { d.Routes[0].Service = "scan" }},
		{RuleRefused, "route stock", "objective", func(d *site.Document) { d.Routes[1].Objective = -1 }, func(d *site.Document) { d.Version = 0 }},
		{RuleRefused, "routes plans and stock", "host", func(d *site.Document) { d.Routes[1].Host, d.Routes[1].Prefix = "A.example", "/plans/" }, func(d *site.Document) { d.Routes[1].Host = "A.example" }},
		{RuleNameTwice, "route plans", "name", func(d *site.Document) { d.Routes[1].Name = "plans" }, func(d *site.Document) { d.Routes[1].Name = "Plans" }},
		{RuleNameTwice, "account north", "name", func(d *site.Document) { d.Accounts[1].Name = "north" }, func(d *site.Document) { d.Accounts[1].Name = "plans" }},
		{RuleHostNeverMatches, "route plans", "host", host(""), host("A.example")},
		{RuleHostNeverMatches, "route plans", "host", host("http://a.example"), host("a.example:80")},
		{RuleHostNeverMatches, "route plans", "host", host("bücher.example"), host("xn--bcher-kva.example")},
		{RuleHostNeverMatches, "route plans", "host", host("a b"), host("[::1]:80")},
		{RuleHostNeverMatches, "route plans", "host", host("*.example"), host("a_b.example")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/a b/"), prefix("/a%2Fb/")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/a^b/"), prefix("/a%2/%20/")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/a?b=/"), prefix("/a=/")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/a#b/"), prefix("/100%/")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/ä/"), prefix("/%C3%A4/")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/a/../"), prefix("/a/.../")},
		{RulePrefixNeverMatches, "route plans", "prefix", prefix("/./a/"), prefix("/.a/")},
		{RuleRoutesDifferInCase, "route stock", "host and prefix", func(d *site.Document) { d.Routes[1].Host, d.Routes[1].Prefix = "a.example", "/Plans/" }, func(d *site.Document) { d.Routes[1].Prefix = "/Plans/" }},
		{RuleWeightZero, "route plans", "weight", func(d *site.Document) {
			d.Routes[0].Split = append(d.Routes[0].Split, site.WeightedService{Service: "scan"})
		}, func(d *site.Document) {
			d.Routes[0].Split = append(d.Routes[0].Split, site.WeightedService{Service: "scan", Weight: 0.1})
		}},
		{RuleServiceUnused, "service spare", "name", func(d *site.Document) { d.Services = append(d.Services, site.Service{Name: "spare"}) }, func(d *site.Document) {
			d.Services = append(d.Services, site.Service{Name: "spare"})
			d.Routes[1].Split[0].Service = "spare"
		}},
		{RuleAccountWithoutKeys, "account south", "keys", func(d *site.Document) { d.Accounts[1].Keys = nil }, func(d *site.Document) { d.Accounts = d.Accounts[:1] }},
		{RuleEmptyKey, "account south", "keys", func(d *site.Document) { d.Accounts[1].Keys = []string{""} }, func(d *site.Document) { d.Accounts[1].Keys = []string{" "} }},
		{RuleWithoutEffect, "route stock", "resumable", func(d *site.Document) { d.Routes[1].Resumable = true }, func(d *site.Document) { d.Routes[1].Resumable, d.Routes[1].Kind = true, site.Streaming }},
		{RuleWithoutEffect, "route stock", "gap objective", func(d *site.Document) { d.Routes[1].GapObjective = 1 }, func(d *site.Document) { d.Routes[1].GapObjective, d.Routes[1].Kind = 1, site.Streaming }},
		{RuleStageNeverRuns, "route plans, stage 0", "service", func(d *site.Document) { stageOf(d).Service = "llm" }, func(*site.Document) {}},
		{RuleObjectiveAboveTimeout, "route stock", "objective", func(d *site.Document) { d.Routes[1].Objective = 2*time.Second + 1 }, func(d *site.Document) { d.Routes[1].Objective = 2 * time.Second }},
		{RuleObjectiveAboveTimeout, "route plans", "gap objective", func(d *site.Document) { d.Routes[0].GapObjective = 11 * time.Second }, func(d *site.Document) { d.Routes[0].GapObjective = 10 * time.Second }},
		{RuleMaxAttemptsZero, "route stock", "max attempts", func(d *site.Document) { d.Routes[1].MaxAttempts = 0 }, func(d *site.Document) { d.Routes[1].MaxAttempts = 1 }},
		// Two stages of 110 ms each, one after the other.
		{RuleStagesTooLong, "route plans", "objective", func(d *site.Document) { d.Routes[0].Objective = 219 * time.Millisecond }, func(d *site.Document) { d.Routes[0].Objective = 220 * time.Millisecond }},
		{RuleStagesTooLong, "route plans", "timeout", func(d *site.Document) { d.Routes[0].Timeout = 219 * time.Millisecond }, func(d *site.Document) {
			d.Routes[0].Timeout, d.Routes[0].Objective = 220*time.Millisecond, 220*time.Millisecond
			d.Routes[0].GapObjective, scan(d).Queue = 0, 0
		}},
		{RuleStagesTooLong, "route plans", "objective", func(d *site.Document) { d.Routes[0].Objective = 150 * time.Millisecond }, func(d *site.Document) {
			d.Routes[0].Objective, d.Routes[0].Stages[1].DependsOn = 150*time.Millisecond, nil
		}},
		{RuleCallersGone, "route plans", "objective", func(d *site.Document) { scan(d).CallOverhead = 2 * time.Second }, func(d *site.Document) {
			scan(d).CallOverhead, d.Routes[0].Objective = 1900*time.Millisecond, 4*time.Second
		}},
		{RuleResultTooLarge, "route plans, stage 0", "result size", func(d *site.Document) { stageOf(d).ResultBytes = 10_000_001 }, func(d *site.Document) { stageOf(d).ResultBytes, scan(d).MaxBatch = 10_000_000, 1 }},
		{RuleBatchTooLarge, "route plans, stage 0", "result size", func(d *site.Document) { stageOf(d).ResultBytes = 1_000_001 }, func(d *site.Document) { stageOf(d).ResultBytes = 1_000_000 }},
		{RuleBatchTooLarge, "route plans, stage 0", "result size", func(d *site.Document) { scan(d).MaxBatch = 13 }, func(d *site.Document) { scan(d).MaxBatch, scan(d).ResultMemoryBytes = 13, 0 }},
		// A call with a full batch takes 200 ms.
		{RuleQueueTooLong, "service scan", "queue", func(d *site.Document) { scan(d).Queue = 51 }, func(d *site.Document) { scan(d).Queue = 50 }},
		{RuleQueueTooLong, "service scan", "queue", func(d *site.Document) { scan(d).Queue = 101 }, func(d *site.Document) { scan(d).Queue, scan(d).Slots = 100, 2 }},
		{RuleResultExpires, "service scan", "result lifetime", func(d *site.Document) { scan(d).ResultTTL = 199 * time.Millisecond }, func(d *site.Document) { scan(d).ResultTTL = 200 * time.Millisecond }},
		{RuleResultExpires, "route plans, stage 2", "inputs", slowInput(110*time.Millisecond, 311*time.Millisecond), slowInput(110*time.Millisecond, 310*time.Millisecond)},
		{RuleColdIncomplete, "service llm", "cold period", func(d *site.Document) { d.Services[0].ColdPerSecond = 17 }, func(d *site.Document) { d.Services[0].ColdPerSecond, d.Services[0].ColdStartSeconds = 17, 3 }},
		{RuleColdIncomplete, "service llm", "cold rate", func(d *site.Document) { d.Services[0].ColdStartSeconds = 3 }, func(*site.Document) {}},
		{RuleRefused, "service llm", "cold rate", func(d *site.Document) { d.Services[0].ColdPerSecond = -1 }, func(*site.Document) {}},
		{RuleBodyLimit, "limits", "body size", func(d *site.Document) { d.Limits.BodyBytes = 0 }, func(d *site.Document) { d.Limits.BodyBytes = 10_000 }},
		{RuleBodyLimit, "limits", "body size", func(d *site.Document) { d.Limits.BodyBytes = 9_999 }, func(d *site.Document) { d.Limits.BodyBytes = 10_000 }},
		{RuleHeaderLimit, "limits", "header size", func(d *site.Document) { d.Limits.HeaderBytes = 0 }, func(d *site.Document) { d.Limits.HeaderBytes = 1 }},
		{RuleHeaderLimit, "limits", "header timeout", func(d *site.Document) { d.Limits.HeaderTimeout = 0 }, func(d *site.Document) { d.Limits.HeaderTimeout = 1 }},
	} {
		d := sound()
		tt.fault(d)
		if got := run(d, nil); !has(got, tt.rule, tt.entry, tt.field) {
			t.Errorf("got %+v, want a finding of rule %s in %s, %s", got.Findings, tt.rule, tt.entry, tt.field)
		}
		d = sound()
		tt.near(d)
		if got := run(d, nil); len(got.Findings) > 0 {
			t.Errorf("got %+v, want no finding next to rule %s in %s, %s", got.Findings, tt.rule, tt.entry, tt.field)
		}
	}
}

// slowInput adds a stage whose inputs are a stage of the service scan, the results of which are
// kept for 200 ms, and a stage of another service with another duration of a call.
func slowInput(quick, slow time.Duration) func(*site.Document) {
	return func(d *site.Document) {
		scan(d).ResultTTL, scan(d).CallOverhead, scan(d).PieceTime = 200*time.Millisecond, quick, 0
		d.Services = append(d.Services, site.Service{Name: "slow", Batching: &site.Batching{Slots: 1, MaxBatch: 1, CallOverhead: slow}})
		d.Routes[0].Stages = []site.Stage{{Service: "scan"}, {Service: "slow"}, {Service: "scan", DependsOn: []int{0, 1}}}
	}
}

func has(r Report, rule Rule, entry, field string) bool {
	for _, f := range r.Findings {
		if f.Rule == rule && f.Entry == entry && f.Field == field {
			return f.Problem != "" && f.Remedy != "" && (f.Severity == Error) == (rule == RuleRefused)
		}
	}
	return false
}

// TestSoundDocumentHasNoFindings guards against warnings that operators learn to ignore.
func TestSoundDocumentHasNoFindings(t *testing.T) {
	if got := run(sound(), nil); len(got.Findings) > 0 || got.Version != 7 || got.InForce != nil || got.Differences != nil {
		t.Errorf("got %+v, want an empty report of version 7", got)
	}
}

// TestUndecodableDocumentIsRefused guards against a document that no decoder accepts and that
// passes the check.
func TestUndecodableDocumentIsRefused(t *testing.T) {
	decode := func([]byte) (*site.Document, error) { return nil, errors.New("read: no version; number it") }
	got := Run(Input{Decode: decode})
	if want := (Finding{Error, RuleRefused, "document", "text", "read: no version", "number it"}); len(got.Findings) != 1 || got.Findings[0] != want {
		t.Errorf("got %+v, want %+v", got.Findings, want)
	}
	got = Run(Input{Text: make([]byte, site.MaxTextBytes+1), Decode: func([]byte) (*site.Document, error) { return sound(), nil }})
	if got.Count(Error) != 1 {
		t.Errorf("got %+v, want an error for a document that is too large", got.Findings)
	}
}

// TestVersionMustBeHigher guards against a document that is acknowledged and changes nothing.
func TestVersionMustBeHigher(t *testing.T) {
	for inForce, want := range map[uint64]bool{6: false, 7: true, 8: true} {
		old := sound()
		old.Version = inForce
		got := run(sound(), old)
		if has(got, RuleVersionNotHigher, "document", "version") != want || got.InForce == nil || *got.InForce != inForce || len(got.Differences) != 0 {
			t.Errorf("got %+v against version %d, want a finding: %v", got, inForce, want)
		}
	}
}

// TestDifferences guards against changes that the comparison misses or shows as others.
func TestDifferences(t *testing.T) {
	for _, tt := range []struct {
		change func(*site.Document)
		want   []Difference
	}{
		{func(*site.Document) {}, nil},
		{func(d *site.Document) { d.Routes = d.Routes[:1] }, []Difference{{Change: Removed, Entry: "route stock"}}},
		{func(d *site.Document) { d.Services = append(d.Services, site.Service{Name: "new"}) }, []Difference{{Change: Added, Entry: "service new"}}},
		{func(d *site.Document) { d.Routes[1].Timeout = 3 * time.Second }, []Difference{{Changed, "route stock", "timeout", "2s", "3s"}}},
		{func(d *site.Document) { d.Routes[0].Stages = nil }, []Difference{{Changed, "route plans", "stages", "0 scan after [], 800000 bytes; 1 scan after [0], 60000 bytes", "none"}}},
		{func(d *site.Document) { d.Routes[0].Split[0].Weight = 2 }, []Difference{{Changed, "route plans", "services", "llm=1", "llm=2"}}},
		{func(d *site.Document) { scan(d).ResultTTL = time.Second }, []Difference{{Changed, "service scan", "result lifetime", "4s", "1s"}}},
		{func(d *site.Document) { d.Limits.BodyBytes = 20_000 }, []Difference{{Changed, "limits", "body size", "4194304", "20000"}}},
		{func(d *site.Document) { d.Accounts[0].Keys = []string{"secret-2", "secret-4", "secret-5"} }, []Difference{{Changed, "account north", "keys", "2 keys", "3 keys, 2 added, 1 removed"}}},
		{func(d *site.Document) { d.Accounts[0].Keys = []string{"secret-2", "secret-1"} }, nil},
		{func(d *site.Document) { p := 3; d.Accounts[1].Priority = &p }, []Difference{{Changed, "account south", "priority", "none", "3"}}},
		{func(d *site.Document) { d.Accounts[1].Name = "east" }, []Difference{{Change: Added, Entry: "account east"}, {Change: Removed, Entry: "account south"}}},
		{func(d *site.Document) { d.Routes = append(d.Routes, d.Routes[1]) }, []Difference{{Change: Added, Entry: "route stock (2)"}}},
	} {
		d := sound()
		tt.change(d)
		if got := Compare(sound(), d); fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("got %v, want %v", got, tt.want)
		}
	}
}

// TestEveryFieldIsCompared guards against a field of the document that the comparison misses.
// It fails when a type gets a field: add it to the lists in compare.go and here.
func TestEveryFieldIsCompared(t *testing.T) {
	priority := 1
	for name, change := range map[string]func(*site.Document){
		"host":                func(d *site.Document) { d.Routes[0].Host = "x" },
		"prefix":              func(d *site.Document) { d.Routes[0].Prefix = "/x/" },
		"kind":                func(d *site.Document) { d.Routes[0].Kind = site.Safe },
		"timeout":             func(d *site.Document) { d.Routes[0].Timeout = 1 },
		"objective":           func(d *site.Document) { d.Routes[0].Objective = 1 },
		"gap objective":       func(d *site.Document) { d.Routes[0].GapObjective = 1 },
		"priority":            func(d *site.Document) { d.Routes[0].Priority = 1 },
		"services":            func(d *site.Document) { d.Routes[0].Split = nil },
		"service":             func(d *site.Document) { d.Routes[0].Service = "x" },
		"max attempts":        func(d *site.Document) { d.Routes[0].MaxAttempts = 9 },
		"stages":              func(d *site.Document) { d.Routes[0].Stages[0].ResultBytes = 1 },
		"allow anonymous":     func(d *site.Document) { d.Routes[0].AllowAnonymous = true },
		"resumable":           func(d *site.Document) { d.Routes[0].Resumable = false },
		"sticky":              func(d *site.Document) { d.Routes[0].Sticky = true },
		"health path":         func(d *site.Document) { d.Services[0].HealthPath = "/x" },
		"max connections":     func(d *site.Document) { d.Services[0].MaxConnections = 1 },
		"cold rate":           func(d *site.Document) { d.Services[0].ColdPerSecond = 1 },
		"cold period":         func(d *site.Document) { d.Services[0].ColdStartSeconds = 1 },
		"engine slots":        func(d *site.Document) { d.Services[0].Engine.Slots = 1 },
		"engine cache tokens": func(d *site.Document) { d.Services[0].Engine.KVCacheTokens = 1 },
		"engine":              func(d *site.Document) { d.Services[1].Engine = &site.Engine{} },
		"pieces":              func(d *site.Document) { d.Services[0].Batching = &site.Batching{} },
		"slots":               func(d *site.Document) { scan(d).Slots = 9 },
		"queue":               func(d *site.Document) { scan(d).Queue = 9 },
		"batch":               func(d *site.Document) { scan(d).MaxBatch = 9 },
		"call overhead":       func(d *site.Document) { scan(d).CallOverhead = 9 },
		"piece time":          func(d *site.Document) { scan(d).PieceTime = 9 },
		"result memory":       func(d *site.Document) { scan(d).ResultMemoryBytes = 9 },
		"result lifetime":     func(d *site.Document) { scan(d).ResultTTL = 9 },
		"header size":         func(d *site.Document) { d.Limits.HeaderBytes = 9 },
		"body size":           func(d *site.Document) { d.Limits.BodyBytes = 9 },
		"header timeout":      func(d *site.Document) { d.Limits.HeaderTimeout = 9 },
		"idle timeout":        func(d *site.Document) { d.Limits.IdleTimeout = 9 },
		"keys":                func(d *site.Document) { d.Accounts[0].Keys = nil },
		"account priority":    func(d *site.Document) { d.Accounts[0].Priority = &priority },
	} {
		d := sound()
		change(d)
		got := Compare(sound(), d)
		if len(got) != 1 || got[0].Change != Changed || !strings.HasSuffix(name, got[0].Field) {
			t.Errorf("got %v, want one change of %s", got, name)
		}
	}
	got := fieldCounts()
	if want := "Document 5, Route 16, WeightedService 2, Stage 3, Service 7, Engine 2, Batching 7, Account 3, Limits 4"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// fieldCounts returns the number of fields of each type of a document.
func fieldCounts() string {
	var counts []string
	for _, v := range []any{site.Document{}, site.Route{}, site.WeightedService{}, site.Stage{}, site.Service{}, site.Engine{}, site.Batching{}, site.Account{}, site.Limits{}} {
		counts = append(counts, fmt.Sprintf("%s %d", reflect.TypeOf(v).Name(), reflect.TypeOf(v).NumField()))
	}
	return strings.Join(counts, ", ")
}

// faulty returns a document with errors, warnings and differences to sound.
func faulty() *site.Document {
	d := sound()
	d.Routes[0].Host = "b\u00fccher.example"
	d.Routes[0].Timeout = 0
	d.Routes[1].Prefix = "/stock new/"
	d.Routes[1].Objective = 5 * time.Second
	d.Routes[1].Name = "stock\nerror: \x1b[31m"
	d.Services[1].Batching.ResultMemoryBytes = 900_000
	d.Accounts[0].Keys = []string{"secret-2", "secret-9"}
	d.Accounts[1].Keys = []string{"secret-9"}
	d.Limits = site.Limits{}
	return d
}

// TestGolden guards against reports whose order or form changes, which scripts read.
func TestGolden(t *testing.T) {
	for range 20 {
		r := run(faulty(), sound())
		var text, asJSON, empty bytes.Buffer
		if err := errors.Join(r.WriteText(&text), r.WriteJSON(&asJSON), run(sound(), nil).WriteJSON(&empty)); err != nil {
			t.Fatalf("write: %v", err)
		}
		golden(t, "report.txt", text.Bytes())
		golden(t, "report.json", asJSON.Bytes())
		golden(t, "empty.json", empty.Bytes())
		if lines := strings.Count(text.String(), "\n"); lines != len(r.Findings)+len(r.Differences)+1 {
			t.Errorf("got %d lines, want one for each finding and difference and a summary", lines)
		}
	}
}

// TestKeysAreNotShown guards against reports that reveal API keys.
func TestKeysAreNotShown(t *testing.T) {
	r := run(faulty(), sound())
	var out bytes.Buffer
	if err := errors.Join(r.WriteText(&out), r.WriteJSON(&out)); err != nil {
		t.Fatalf("write: %v", err)
	}
	if strings.Contains(out.String(), "secret-") {
		t.Errorf("got a report with a key: %s", out.String())
	}
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := "testdata/" + name
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatalf("write golden file: %v", err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read golden file: %v; write it with -update", err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
