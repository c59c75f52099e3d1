package site

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func valid() *Document {
	return &Document{
		Version: 7,
		Services: []Service{
			{Name: "llm"},
			{Name: "scan", Batching: &Batching{Slots: 1, MaxBatch: 4, CallOverhead: time.Second, PieceTime: time.Millisecond}},
		},
		Routes: []Route{
			{Name: "r1", Host: "a.example", Prefix: "/plans/", Timeout: time.Second, Split: []WeightedService{{"llm", 1}}, Stages: []Stage{{Service: "scan"}, {Service: "scan", DependsOn: []int{0}}}},
			{Name: "r2", Host: "a.example", Prefix: "/plans/winter/", Timeout: time.Second, Split: []WeightedService{{"llm", 1}}},
			{Name: "r3", Host: "b.example", Prefix: "/plans/", Timeout: time.Second, Split: []WeightedService{{"llm", 90}, {"scan", 10}}},
		},
		Accounts: []Account{{Name: "north", Keys: []string{"k1", "k2"}}, {Name: "south", Keys: []string{"k3"}}},
	}
}

func TestValidate(t *testing.T) {
	if err := valid().Validate(); err != nil {
		t.Fatalf("a valid document is rejected: %v", err)
	}
	for want, invalidate := range map[string]func(*Document){
		"unknown service":          func(d *Document) { d.Routes[0].Split[0].Service = "none" },
		"route r1, stage 1":        func(d *Document) { d.Routes[0].Stages[1].Service = "none" },
		"share a.example/plans/":   func(d *Document) { d.Routes[1].Prefix = "/plans/" },
		"add up to 0":              func(d *Document) { d.Routes[0].Split[0].Weight = 0 },
		"timeout must be positive": func(d *Document) { d.Routes[2].Timeout = 0 },
		"share a key":              func(d *Document) { d.Accounts[1].Keys[0] = "k2" },
		"use an earlier stage":     func(d *Document) { d.Routes[0].Stages[0].DependsOn = []int{1} },
		"begin and end":            func(d *Document) { d.Routes[0].Prefix = "/plans" },
		"batch and slots":          func(d *Document) { d.Services[1].Batching.MaxBatch = 0 },
	} {
		d := valid()
		invalidate(d)
		err := d.Validate()
		var invalid *ValidationError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want a violation with %q", err, want)
		}
	}
}

func TestIndex(t *testing.T) {
	x := NewIndex(valid())
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/plans/7", "r1"},
		{"A.Example", "/plans/winter/7", "r2"},
		{"b.example", "/plans/winter/7", "r3"},
		{"a.example", "/plans", ""},
		{"c.example", "/plans/7", ""},
	} {
		got := ""
		if r, ok := x.Route(tt.host, tt.path); ok {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s goes to %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
	if a, ok := x.Account("k2"); !ok || a.Name != "north" {
		t.Errorf("key k2 belongs to %v, want north", a)
	}
	if _, ok := x.Account(""); ok {
		t.Error("an empty key belongs to an account")
	}
}

// TestHostsAreComparedWithoutCase guards against a route whose host has a capital letter and
// that no request reaches, and against one that letters other than ASCII lead to.
func TestHostsAreComparedWithoutCase(t *testing.T) {
	for _, tt := range []struct {
		route, request string
		want           bool
	}{
		{"A.example", "a.example", true},
		{"A.EXAMPLE:8080", "a.Example:8080", true},
		{"a.example", "A.example", true},
		{"\u212a.example", "k.example", false},
		{"\u0130.example", "i.example", false},
	} {
		d := valid()
		d.Routes[0].Host = tt.route
		if _, got := NewIndex(d).Route(tt.request, "/plans/7"); got != tt.want {
			t.Errorf("a request to %s reaches a route of host %s: %v, want %v", tt.request, tt.route, got, tt.want)
		}
	}
}

// TestRoutesWhoseHostsDifferInCase guards against a document of which one route never gets a
// request, and against a stored one that is served by another route than before.
func TestRoutesWhoseHostsDifferInCase(t *testing.T) {
	d := valid()
	d.Routes[1].Host, d.Routes[1].Prefix = "A.example", "/plans/"
	d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0]
	var invalid *ValidationError
	if err := d.Validate(); !errors.As(err, &invalid) || !strings.Contains(err.Error(), "routes r2 and r1: they share a.example/plans/") {
		t.Errorf("got %v, want a violation that names both routes", err)
	}
	if err := d.ValidateStored(); err != nil {
		t.Errorf("a stored document is refused: %v", err)
	}
	if r, ok := NewIndex(d).Route("a.example", "/plans/7"); !ok || r.Name != "r1" {
		t.Errorf("got route %v, want r1, which is written in lower case", r)
	}
}

// TestPathIsMatchedAsSent guards against a request that another route gets because its path
// was changed before it was compared.
func TestPathIsMatchedAsSent(t *testing.T) {
	d := valid()
	d.Routes[2].Host, d.Routes[2].Prefix = "a.example", "/plans/a%2Fb/"
	x := NewIndex(d)
	for path, want := range map[string]string{
		"/plans/winter%2F7": "r1", "/plans/winter/7": "r2", "/plans/a%2Fb/7": "r3", "/plans/a%2fb/7": "r1",
		"/plans/a/b/7": "r1", "/plans%2F7": "", "/plans%2Fwinter/7": "", "/%70lans/7": "", "/plans/%77inter/7": "r1",
	} {
		got := ""
		if r, ok := x.Route("a.example", path); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s goes to %q, want %q", path, got, want)
		}
	}
}
