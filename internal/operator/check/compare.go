package check

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// field is a field of an entry in the words of a report.
type field struct{ name, value string }

// entry is an entry of a document as a list of fields. keys holds the API keys of an account,
// which are compared but never shown.
type entry struct {
	fields []field
	keys   []string
}

// Compare returns the differences between a document in force and a new one, sorted by entry and
// field. Entries are identified by kind and name.
func Compare(inForce, d *site.Document) []Difference {
	before, after := entries(inForce), entries(d)
	differences := []Difference{}
	for name, e := range before {
		if n, ok := after[name]; ok {
			differences = append(differences, changes(name, e, n)...)
		} else {
			differences = append(differences, Difference{Change: Removed, Entry: name})
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			differences = append(differences, Difference{Change: Added, Entry: name})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Field, b.Field))
	})
	return differences
}

// changes returns the differences between two versions of an entry.
func changes(name string, before, after entry) []Difference {
	var differences []Difference
	values := make(map[string]string, len(before.fields))
	for _, f := range before.fields {
		values[f.name] = f.value
	}
	for _, f := range after.fields {
		if old := values[f.name]; old != f.value {
			differences = append(differences, Difference{Changed, name, f.name, old, f.value})
		}
	}
	if added, removed := missing(after.keys, before.keys), missing(before.keys, after.keys); added+removed > 0 {
		differences = append(differences, Difference{
			Changed, name, "keys",
			fmt.Sprintf("%d keys", len(before.keys)), fmt.Sprintf("%d keys, %d added, %d removed", len(after.keys), added, removed),
		})
	}
	return differences
}

// missing returns how many distinct keys are not among the others.
func missing(keys, others []string) int {
	distinct := make(map[string]bool, len(keys))
	for _, k := range keys {
		distinct[k] = true
	}
	for _, k := range others {
		delete(distinct, k)
	}
	return len(distinct)
}

// entries returns the entries of a document by kind and name. Those that share a name are
// numbered in the order of the document.
func entries(d *site.Document) map[string]entry {
	out := make(map[string]entry)
	count := make(map[string]int)
	add := func(name string, e entry) {
		count[name]++
		if n := count[name]; n > 1 {
			name = fmt.Sprintf("%s (%d)", name, n)
		}
		out[name] = e
	}
	add("limits", entry{fields: limitFields(d.Limits)})
	for _, r := range d.Routes {
		add(routeEntry(r), entry{fields: routeFields(r)})
	}
	for _, s := range d.Services {
		add(serviceEntry(s.Name), entry{fields: serviceFields(s)})
	}
	for _, a := range d.Accounts {
		priority := "none"
		if a.Priority != nil {
			priority = strconv.Itoa(*a.Priority)
		}
		add(accountEntry(a), entry{fields: []field{{"priority", priority}}, keys: a.Keys})
	}
	return out
}

func limitFields(l site.Limits) []field {
	return []field{
		{"header size", strconv.Itoa(l.HeaderBytes)},
		{"body size", strconv.FormatInt(l.BodyBytes, 10)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

func routeFields(r site.Route) []field {
	split := make([]string, len(r.Split))
	for i, s := range r.Split {
		split[i] = fmt.Sprintf("%s=%v", s.Service, s.Weight)
	}
	stages := make([]string, len(r.Stages))
	for i, s := range r.Stages {
		stages[i] = fmt.Sprintf("%d %s after %v, %d bytes", i, s.Service, s.DependsOn, s.ResultBytes)
	}
	return []field{
		{"host", strconv.Quote(r.Host)},
		{"prefix", strconv.Quote(r.Prefix)},
		{"kind", r.Kind.String()},
		{"timeout", r.Timeout.String()},
		{"objective", r.Objective.String()},
		{"gap objective", r.GapObjective.String()},
		{"priority", strconv.Itoa(r.Priority)},
		{"max attempts", strconv.Itoa(r.MaxAttempts)},
		{"allow anonymous", strconv.FormatBool(r.AllowAnonymous)},
		{"resumable", strconv.FormatBool(r.Resumable)},
		{"sticky", strconv.FormatBool(r.Sticky)},
		{"service", strconv.Quote(r.Service)},
		{"services", list(split)},
		{"stages", list(stages)},
	}
}

func serviceFields(s site.Service) []field {
	return slices.Concat([]field{
		{"health path", strconv.Quote(s.HealthPath)},
		{"max connections", strconv.Itoa(s.MaxConnections)},
		{"cold rate", fmt.Sprint(s.ColdPerSecond)},
		{"cold period", fmt.Sprintf("%vs", s.ColdStartSeconds)},
	}, engineFields(s.Engine), batchingFields(s.Batching))
}

func engineFields(e *site.Engine) []field {
	present := strconv.FormatBool(e != nil)
	if e == nil {
		e = &site.Engine{}
	}
	return []field{
		{"engine", present},
		{"engine slots", strconv.Itoa(e.Slots)},
		{"engine cache tokens", strconv.FormatInt(e.KVCacheTokens, 10)},
	}
}

func batchingFields(b *site.Batching) []field {
	present := strconv.FormatBool(b != nil)
	if b == nil {
		b = &site.Batching{}
	}
	return []field{
		{"pieces", present},
		{"slots", strconv.Itoa(b.Slots)},
		{"queue", strconv.Itoa(b.Queue)},
		{"batch", strconv.Itoa(b.MaxBatch)},
		{"call overhead", b.CallOverhead.String()},
		{"piece time", b.PieceTime.String()},
		{"result memory", strconv.FormatInt(b.ResultMemoryBytes, 10)},
		{"result lifetime", b.ResultTTL.String()},
	}
}

func list(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, "; ")
}
