package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/internal/test/standin"
)

const (
	// engines is the number of upstreams of kind generate. Each runs engineSlots
	// calls concurrently.
	engines     = 20
	engineSlots = 4
	// The service time of an engine is engineBaseUs plus engineTokenUs for each
	// token, in microseconds.
	engineBaseUs  = 10_000
	engineTokenUs = 2_000
	// shortTokens and longTokens are the sizes of short and long requests in
	// tokens.
	shortTokens = 20
	longTokens  = 1000
	// longShare is the fraction of long requests.
	longShare = 0.03
)

// capacity returns the maximum throughput of the engines in requests per second,
// for a mean service time in microseconds.
func capacity(meanUs float64) float64 { return engines * engineSlots * 1e6 / meanUs }

// serviceTimeUs returns the service time of an engine in microseconds, for a number
// of tokens.
func serviceTimeUs(tokens float64) float64 { return engineBaseUs + engineTokenUs*tokens }

// policy is a routing section of the document whose effect is measured.
type policy struct{ name, routing string }

var policies = []policy{
	{"baseline", "policy = \"baseline\"\nqueue = \"fifo\"\nadmission = false\nhedge_quantile = 0.0\n"},
	{"policy", "policy = \"expected\"\ncandidates = 8\nqueue = \"slack\"\nadmission = true\nhedge_quantile = 0.95\nhedge_budget = 0.03\n"},
}

func measureCommand(app *kingpin.Application) command {
	clause := app.Command("measure", "Compare the routing policy with a simple baseline: latency, goodput and extra calls.")
	seeds := clause.Flag("seeds", "Number of seeds; each scenario runs once per seed and policy.").Default("5").Int()
	only := clause.Flag("scene", "Run only the scenarios whose name contains this text.").String()
	return command{clause: clause, run: func() error {
		return withFleet(measureSpec(), func(f *fleet) error { return runMeasure(f, *seeds, *only) })
	}}
}

func measureSpec() fleetSpec {
	spec := fleetSpec{controls: 3, entries: 2, zones: []string{"a", "b"}, document: documentText("")}
	add := func(kind, model string, n, slots int, baseUs, perUnitUs int64) {
		for i := range n {
			spec.upstreams = append(spec.upstreams, upstreamSpec{
				name: fmt.Sprintf("%s%s-%d", kind, model, i+1), zone: spec.zones[i%2], kind: kind, model: model,
				slots: slots, baseUs: baseUs, perUnitUs: perUnitUs, reportDelay: 2 * time.Second,
			})
		}
	}
	add("encode", "", 2, 10, engineBaseUs, 0)
	add("retrieve", "", 2, 10, engineBaseUs, 0)
	add("rerank", "", 2, 10, engineBaseUs, 0)
	add("generate", "winter", engines, engineSlots, engineBaseUs, engineTokenUs)
	return spec
}

// scenario is one load, with or without faults, under which the policies are
// compared.
type scenario struct {
	name     string
	load     func(seed uint64) load
	setup    func(f *fleet) error
	teardown func(f *fleet) error
}

func noop(*fleet) error { return nil }

// scenarios returns the scenarios to measure. Crest is a burst above capacity.
// Blocking adds long requests to the load of short work alone; two slowed tenfold
// slows engines under the load of none slowed.
func scenarios() []scenario {
	shortCapacity := capacity(serviceTimeUs(shortTokens))
	mixedCapacity := capacity((1-longShare)*serviceTimeUs(shortTokens) + longShare*serviceTimeUs(longTokens))
	short := func(_ *rand.Rand, a *arrival) { a.account, a.pipeline, a.tokens = "dakgoot", "plan", shortTokens }
	return []scenario{
		{name: "attainment", setup: noop, teardown: noop, load: func(seed uint64) load {
			return generateLoad(seed, 5*time.Second, constantRate(0.8*shortCapacity), func(rnd *rand.Rand, a *arrival) {
				a.account, a.pipeline, a.tokens = "dakgoot", "route", uint32(5+rnd.IntN(2*shortTokens-9))
			})
		}},
		{name: "crest", setup: noop, teardown: noop, load: func(seed uint64) load {
			return generateLoad(seed, 14*time.Second, func(at time.Duration) float64 {
				if at > 2*time.Second && at < 10*time.Second {
					return 2.5 * shortCapacity
				}
				return 0.5 * shortCapacity
			}, short)
		}},
		{name: "short work alone", setup: noop, teardown: noop, load: func(seed uint64) load {
			return generateLoad(seed, 6*time.Second, constantRate(0.7*mixedCapacity*(1-longShare)), short)
		}},
		{name: "blocking", setup: noop, teardown: noop, load: func(seed uint64) load {
			return generateLoad(seed, 6*time.Second, constantRate(0.7*mixedCapacity), func(rnd *rand.Rand, a *arrival) {
				short(rnd, a)
				if rnd.Float64() < longShare {
					a.account, a.tokens, a.deadline, a.long = "calados", longTokens, 8*time.Second, true
				}
			})
		}},
		{name: "none slowed", setup: noop, teardown: noop, load: func(seed uint64) load {
			return generateLoad(seed, 5*time.Second, constantRate(0.6*shortCapacity), short)
		}},
		{name: "two slowed tenfold", setup: slowTwoEngines(10), teardown: slowTwoEngines(0), load: func(seed uint64) load {
			return generateLoad(seed, 5*time.Second, constantRate(0.6*shortCapacity), short)
		}},
		{name: "two killed", setup: killTwoAgents, teardown: restartTwoAgents, load: func(seed uint64) load {
			return generateLoad(seed, 6*time.Second, constantRate(0.7*shortCapacity), short)
		}},
	}
}

// slowTwoEngines multiplies the service times of two engines; factor 0 restores
// them.
func slowTwoEngines(factor float64) func(*fleet) error {
	return func(f *fleet) error {
		for _, name := range []string{"generatewinter-3", "generatewinter-4"} {
			if err := f.setFault(name, standin.Fault{SlowFactor: factor}); err != nil {
				return err
			}
		}
		return nil
	}
}

// killTwoAgents kills two agents two seconds after the start of the scenario.
func killTwoAgents(f *fleet) error {
	time.AfterFunc(2*time.Second, func() {
		_ = f.kill("generatewinter-5")
		_ = f.kill("generatewinter-6")
	})
	return nil
}

func restartTwoAgents(f *fleet) error {
	for _, name := range []string{"generatewinter-5", "generatewinter-6"} {
		if err := f.start(name); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// metrics are the results of one run of a scenario.
//
// p50 and p99 are latencies of short requests in milliseconds. The percentages are
// inTime, the admitted requests that met their deadline; longDone, the long requests
// that succeeded; extra, the attempts beyond one per stage; and goodput, the requests
// per second that met their deadline during a burst, relative to the capacity.
type metrics struct {
	inTime, goodput, p50, p99, extra, longDone float64
	failed, refused                            int
}

func runMeasure(f *fleet, seeds int, only string) error {
	if err := f.setSection("pipelines", pipelinesSection()); err != nil {
		return err
	}
	for _, sc := range scenarios() {
		if only != "" && !strings.Contains(sc.name, only) {
			continue
		}
		results := make(map[string][]metrics)
		for seed := range uint64(seeds) {
			for _, p := range policies {
				got, err := runScenario(f, sc, p, seed+1)
				if err != nil {
					return err
				}
				results[p.name] = append(results[p.name], got)
			}
		}
		for _, p := range policies {
			printMetrics(sc.name, p.name, results[p.name])
		}
	}
	return nil
}

// pipelinesSection returns the pipelines section with an additional pipeline, plan,
// whose only stage is a generation.
func pipelinesSection() string {
	text, _, _ := strings.Cut(pipelinesText, "[upstreams]")
	return text + "[pipelines.plan]\ndeadline_ms = 8000\nstages = [{ kind = \"generate\", model = \"winter\", share = 1.0 }]\n"
}

// setSection replaces the text of a section of the document.
func (f *fleet) setSection(name, text string) error {
	var d operator.Document
	if _, err := callOperatorAPI(f.control(0), http.MethodGet, "/v1/document?section="+name, nil, &d); err != nil {
		return err
	}
	edit := operator.Edit{ID: uuid.NewString(), Base: d.Sections[0].Version, Section: name, Text: text}
	var out operator.EditResult
	code, err := callOperatorAPI(f.control(0), http.MethodPost, "/v1/edits", edit, &out)
	if err != nil || code != http.StatusOK {
		return fmt.Errorf("edit section %s: status %d, %+v: %w", name, code, out, err)
	}
	return nil
}

func runScenario(f *fleet, sc scenario, p policy, seed uint64) (metrics, error) {
	if err := f.setSection("routing", "[routing]\n"+p.routing); err != nil {
		return metrics{}, err
	}
	warmUp := generateLoad(seed+100, 2*time.Second, constantRate(400), func(_ *rand.Rand, a *arrival) {
		a.account, a.pipeline, a.tokens = "dakgoot", "route", shortTokens
	})
	warmUp.run(f)
	if err := sc.setup(f); err != nil {
		return metrics{}, err
	}
	l := sc.load(seed)
	result := l.run(f)
	if err := sc.teardown(f); err != nil {
		return metrics{}, err
	}
	goodput := 0.0
	if sc.name == "crest" {
		for second := 3; second < 10; second++ {
			goodput += float64(result.inTimeBySecond[second]) / 7
		}
		goodput = 100 * goodput / capacity(serviceTimeUs(shortTokens))
	}
	return metrics{
		inTime:   percent(result.inTime, result.admitted),
		goodput:  goodput,
		p50:      float64(result.shortLatency.ValueAtQuantile(50)) / 1000,
		p99:      float64(result.shortLatency.ValueAtQuantile(99)) / 1000,
		extra:    100 * float64(result.attempts-result.stages) / float64(max(1, result.stages)),
		longDone: percent(result.longDone, result.long),
		failed:   result.failed,
		refused:  result.refused,
	}, nil
}

// formatSpread returns the median, the minimum and the maximum of a metric.
func formatSpread(all []metrics, value func(metrics) float64) string {
	var v []float64
	for _, x := range all {
		v = append(v, value(x))
	}
	slices.Sort(v)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", v[len(v)/2], v[0], v[len(v)-1])
}

func printMetrics(scenario, policy string, all []metrics) {
	fmt.Printf("%-18s %-8s in time %s %% of admitted; p50 %s ms; p99 %s ms; failed %s; refused %s; extra calls %s %%; stragglers done %s %%",
		scenario, policy,
		formatSpread(all, func(x metrics) float64 { return x.inTime }),
		formatSpread(all, func(x metrics) float64 { return x.p50 }),
		formatSpread(all, func(x metrics) float64 { return x.p99 }),
		formatSpread(all, func(x metrics) float64 { return float64(x.failed) }),
		formatSpread(all, func(x metrics) float64 { return float64(x.refused) }),
		formatSpread(all, func(x metrics) float64 { return x.extra }),
		formatSpread(all, func(x metrics) float64 { return x.longDone }))
	if scenario == "crest" {
		fmt.Printf("; goodput in the crest %s %% of the limit", formatSpread(all, func(x metrics) float64 { return x.goodput }))
	}
	fmt.Println()
}
