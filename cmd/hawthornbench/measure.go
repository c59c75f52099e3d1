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

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/test/standin"
)

const (
	// engines is the number of generating upstreams, engineSlots their slots.
	engines     = 20
	engineSlots = 4
	// engineBaseUs and engineTokenUs are their service time.
	engineBaseUs  = 10_000
	engineTokenUs = 2_000
	// shortTokens is the size of ordinary work, longTokens that of stragglers.
	shortTokens = 20
	longTokens  = 1000
	// longShare is the share of stragglers.
	longShare = 0.03
)

// limit is the requests a second that the engines can serve, by the mean
// service time in microseconds.
func limit(meanUs float64) float64 { return engines * engineSlots * 1e6 / meanUs }

func serviceMeanUs(tokens float64) float64 { return engineBaseUs + engineTokenUs*tokens }

// policy is a routing section to be compared.
type policy struct{ name, routing string }

var policies = []policy{
	{"baseline", "policy = \"baseline\"\nqueue = \"fifo\"\nadmission = false\nhedge_quantile = 0.0\n"},
	{"policy", "policy = \"expected\"\ncandidates = 8\nqueue = \"slack\"\nadmission = true\nhedge_quantile = 0.95\nhedge_budget = 0.03\n"},
}

func measureCommand(app *kingpin.Application) command {
	clause := app.Command("measure", "Measure the policy beside a plain baseline on the users' measures.")
	seeds := clause.Flag("seeds", "Number of seeds.").Default("5").Int()
	only := clause.Flag("scene", "Only this scene.").String()
	return command{clause: clause, run: func() error {
		return inFleet(measureSpec(), func(f *fleet) error { return runMeasure(f, *seeds, *only) })
	}}
}

func measureSpec() fleetSpec {
	spec := fleetSpec{controls: 3, entries: 2, zones: []string{"a", "b"}, document: documentText("")}
	add := func(kind, model string, n, slots int, baseUs, perUnitUs int64) {
		for i := range n {
			spec.upstreams = append(spec.upstreams, upstreamSpec{
				name: fmt.Sprintf("%s%s-%d", kind, model, i+1), zone: spec.zones[i%2], kind: kind, model: model,
				slots: slots, baseUs: baseUs, perUnitUs: perUnitUs, lag: 2 * time.Second,
			})
		}
	}
	add("encode", "", 2, 10, engineBaseUs, 0)
	add("retrieve", "", 2, 10, engineBaseUs, 0)
	add("rerank", "", 2, 10, engineBaseUs, 0)
	add("generate", "winter", engines, engineSlots, engineBaseUs, engineTokenUs)
	return spec
}

// scene is one situation in which the policies are compared.
type scene struct {
	name  string
	load  func(seed uint64) load
	begin func(f *fleet) error
	end   func(f *fleet) error
}

func none(*fleet) error { return nil }

func scenes() []scene {
	shortLimit := limit(serviceMeanUs(shortTokens))
	mixedLimit := limit((1-longShare)*serviceMeanUs(shortTokens) + longShare*serviceMeanUs(longTokens))
	short := func(_ *rand.Rand, a *arrival) { a.account, a.pipeline, a.tokens = "dakgoot", "plan", shortTokens }
	return []scene{
		{name: "attainment", begin: none, end: none, load: func(seed uint64) load {
			return makeLoad(seed, 5*time.Second, steady(0.8*shortLimit), func(rnd *rand.Rand, a *arrival) {
				a.account, a.pipeline, a.tokens = "dakgoot", "route", uint32(5+rnd.IntN(2*shortTokens-9))
			})
		}},
		{name: "crest", begin: none, end: none, load: func(seed uint64) load {
			return makeLoad(seed, 14*time.Second, func(at time.Duration) float64 {
				if at > 2*time.Second && at < 10*time.Second {
					return 2.5 * shortLimit
				}
				return 0.5 * shortLimit
			}, short)
		}},
		{name: "short work alone", begin: none, end: none, load: func(seed uint64) load {
			return makeLoad(seed, 6*time.Second, steady(0.7*mixedLimit*(1-longShare)), short)
		}},
		{name: "blocking", begin: none, end: none, load: func(seed uint64) load {
			return makeLoad(seed, 6*time.Second, steady(0.7*mixedLimit), func(rnd *rand.Rand, a *arrival) {
				short(rnd, a)
				if rnd.Float64() < longShare {
					a.account, a.tokens, a.deadline, a.long = "calados", longTokens, 8*time.Second, true
				}
			})
		}},
		{name: "none slowed", begin: none, end: none, load: func(seed uint64) load {
			return makeLoad(seed, 5*time.Second, steady(0.6*shortLimit), short)
		}},
		{name: "two slowed tenfold", begin: slowTwo(10), end: slowTwo(0), load: func(seed uint64) load {
			return makeLoad(seed, 5*time.Second, steady(0.6*shortLimit), short)
		}},
		{name: "two killed", begin: killTwo, end: reviveTwo, load: func(seed uint64) load {
			return makeLoad(seed, 6*time.Second, steady(0.7*shortLimit), short)
		}},
	}
}

func slowTwo(factor float64) func(*fleet) error {
	return func(f *fleet) error {
		for _, name := range []string{"generatewinter-3", "generatewinter-4"} {
			if err := f.setFault(name, standin.Fault{Slow: factor}); err != nil {
				return err
			}
		}
		return nil
	}
}

// killTwo kills two agents two seconds into the scene.
func killTwo(f *fleet) error {
	time.AfterFunc(2*time.Second, func() {
		_ = f.kill("generatewinter-5")
		_ = f.kill("generatewinter-6")
	})
	return nil
}

func reviveTwo(f *fleet) error {
	for _, name := range []string{"generatewinter-5", "generatewinter-6"} {
		if err := f.start(name); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// figures are what one run of a scene gave.
type figures struct {
	inTime, goodput, p50, p99, extra, longDone float64
	failed, refused                            int
}

func runMeasure(f *fleet, seeds int, only string) error {
	if err := f.setSection("pipelines", pipelinesSection()); err != nil {
		return err
	}
	for _, sc := range scenes() {
		if only != "" && !strings.Contains(sc.name, only) {
			continue
		}
		results := make(map[string][]figures)
		for seed := range uint64(seeds) {
			for _, p := range policies {
				got, err := runScene(f, sc, p, seed+1)
				if err != nil {
					return err
				}
				results[p.name] = append(results[p.name], got)
			}
		}
		for _, p := range policies {
			printFigures(sc.name, p.name, results[p.name])
		}
	}
	return nil
}

// pipelinesSection is the pipelines of the fleet with one for single
// generations.
func pipelinesSection() string {
	text, _, _ := strings.Cut(pipelinesText, "[upstreams]")
	return text + "[pipelines.plan]\ndeadline_ms = 8000\nstages = [{ kind = \"generate\", model = \"winter\", share = 1.0 }]\n"
}

// setSection replaces a section of the document.
func (f *fleet) setSection(name, text string) error {
	var d admin.Document
	if _, err := operate(f.control(0), http.MethodGet, "/v1/document?section="+name, nil, &d); err != nil {
		return err
	}
	edit := admin.Edit{ID: uuid.NewString(), Base: d.Sections[0].Version, Section: name, Text: text}
	var out admin.EditResult
	code, err := operate(f.control(0), http.MethodPost, "/v1/edits", edit, &out)
	if err != nil || code != http.StatusOK {
		return fmt.Errorf("edit of %s answered %d %+v: %w", name, code, out, err)
	}
	return nil
}

func runScene(f *fleet, sc scene, p policy, seed uint64) (figures, error) {
	if err := f.setSection("routing", "[routing]\n"+p.routing); err != nil {
		return figures{}, err
	}
	warm := makeLoad(seed+100, 2*time.Second, steady(400), func(_ *rand.Rand, a *arrival) {
		a.account, a.pipeline, a.tokens = "dakgoot", "route", shortTokens
	})
	warm.run(f)
	if err := sc.begin(f); err != nil {
		return figures{}, err
	}
	l := sc.load(seed)
	t := l.run(f)
	if err := sc.end(f); err != nil {
		return figures{}, err
	}
	goodput := 0.0
	if sc.name == "crest" {
		for second := 3; second < 10; second++ {
			goodput += float64(t.doneIn[second]) / 7
		}
		goodput = 100 * goodput / limit(serviceMeanUs(shortTokens))
	}
	return figures{
		inTime:   share(t.inTime, t.admitted),
		goodput:  goodput,
		p50:      float64(t.short.ValueAtQuantile(50)) / 1000,
		p99:      float64(t.short.ValueAtQuantile(99)) / 1000,
		extra:    100 * float64(t.attempts-t.stages) / float64(max(1, t.stages)),
		longDone: share(t.longDone, t.long),
		failed:   t.failed,
		refused:  t.refused,
	}, nil
}

func spread(all []figures, of func(figures) float64) string {
	var v []float64
	for _, x := range all {
		v = append(v, of(x))
	}
	slices.Sort(v)
	return fmt.Sprintf("%.1f (%.1f to %.1f)", v[len(v)/2], v[0], v[len(v)-1])
}

func printFigures(scene, policy string, all []figures) {
	fmt.Printf("%-18s %-8s in time %s %% of admitted; p50 %s ms; p99 %s ms; failed %s; refused %s; extra calls %s %%; stragglers done %s %%",
		scene, policy,
		spread(all, func(x figures) float64 { return x.inTime }),
		spread(all, func(x figures) float64 { return x.p50 }),
		spread(all, func(x figures) float64 { return x.p99 }),
		spread(all, func(x figures) float64 { return float64(x.failed) }),
		spread(all, func(x figures) float64 { return float64(x.refused) }),
		spread(all, func(x figures) float64 { return x.extra }),
		spread(all, func(x figures) float64 { return x.longDone }))
	if scene == "crest" {
		fmt.Printf("; goodput in the crest %s %% of the limit", spread(all, func(x figures) float64 { return x.goodput }))
	}
	fmt.Println()
}
