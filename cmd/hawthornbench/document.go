package main

import (
	"fmt"
	"strings"
)

// documentText returns the document of a fleet, with routing as the body of the
// routing section.
func documentText(routing string) string {
	hash := hashOf(clientKey)
	var b strings.Builder
	fmt.Fprintf(&b, `[teams.owner]
key_sha256 = %[1]q
sections = ["teams", "routing", "accounts", "pipelines", "upstreams"]

[teams.insurance]
key_sha256 = %[1]q
sections = ["insurer"]

[routing]
%[2]s

[accounts.dakgoot]
key_sha256 = %[1]q
rate = 100000
weight = 3

[accounts.calados]
key_sha256 = %[1]q
rate = 100000
weight = 3

[accounts.small]
key_sha256 = %[1]q
rate = 100000
weight = 1

[accounts.tight]
key_sha256 = %[1]q
rate = 10
weight = 1

[insurer]
max_document_age_ms = 5000

[insurer.services.booking]
daily_limit = 1000000

`, hash, routing)
	b.WriteString(pipelinesText)
	return b.String()
}

const pipelinesText = `[pipelines.route]
deadline_ms = 8000
stages = [
  { kind = "encode", share = 0.1 },
  { kind = "retrieve", share = 0.2 },
  { kind = "rerank", share = 0.2 },
  { kind = "generate", model = "winter", share = 0.5 },
]

[pipelines.booking]
deadline_ms = 5000
stages = [{ kind = "booking", once = true, share = 1.0 }]

[pipelines.check]
deadline_ms = 8000
stages = [{ kind = "generate", model = "pattern", share = 1.0 }]

[pipelines.encode]
deadline_ms = 8000
stages = [{ kind = "encode", share = 1.0 }]

[upstreams]
long_tokens = 200
long_share = 0.5
`

// demoSpec returns the fleet of the demonstration: two availability zones, each with
// an upstream of every kind and model.
func demoSpec() fleetSpec {
	zones := []string{"nl-noord-a", "nl-noord-b"}
	spec := fleetSpec{controls: 3, entries: 2, zones: zones, document: documentText("")}
	for i, zone := range zones {
		add := func(kind, model string, slots int, baseUs, perUnitUs int64) {
			name := fmt.Sprintf("%s%s-%d", kind, model, i+1)
			spec.upstreams = append(spec.upstreams, upstreamSpec{
				name: name, zone: zone, kind: kind, model: model, slots: slots, baseUs: baseUs, perUnitUs: perUnitUs,
			})
		}
		add("encode", "", 8, 2000, 100)
		add("retrieve", "", 8, 3000, 50)
		add("rerank", "", 8, 3000, 50)
		add("generate", "winter", 8, 5000, 2000)
		add("generate", "pattern", 4, 5000, 2000)
		add("booking", "", 4, 10000, 100)
	}
	return spec
}
