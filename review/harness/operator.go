package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operatorTimeout is how long the operator waits for a response before it moves on to
// another node.
const operatorTimeout = time.Second

var operatorClient = &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// plainDocument is a configuration with one service and one route, and version routes
// besides, so that versions differ in more than their number.
func plainDocument(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","path-prefix":"/r/","kind":"safe","timeout-ms":4000,"slo-ms":300,"priority":0,"service":"shop","max-attempts":2,"allow-anonymous":true},`+
		`{"name":"v%d","host":"a.example","path-prefix":"/v%d/","kind":"safe","timeout-ms":4000,"slo-ms":300,"priority":0,"service":"shop","max-attempts":2,"allow-anonymous":true}],`+
		`"services":[{"name":"shop","health-path":"/health","max-connections":50,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`, version, version, version)
}

// controlCall makes one call to a registry and returns the status, 0 if there was no
// response, and the body.
func (f *fleet) controlCall(registry int, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+f.registryAddress(registry)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// put sends a configuration to the given registries in turn until one acknowledges it,
// and returns which one did. It gives up after the given time.
func (f *fleet) put(version int, document string, within time.Duration, registries ...int) (int, error) {
	last := ""
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		registry := registries[i%len(registries)]
		status, text := f.controlCall(registry, http.MethodPut, "/v1/config", document)
		line := fmt.Sprintf("operator: version %d to registry-%d: %d %s", version, registry, status, strings.TrimSpace(text))
		if line != last || status == http.StatusOK {
			f.rec.note("%s", line)
		}
		last = line
		if status == http.StatusOK {
			return registry, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("version %d was not acknowledged within %v", version, within)
}

// read asks a registry for the configuration and returns its version, 0 if it gave none.
func (f *fleet) read(registry int) (version int, answer string) {
	status, text := f.controlCall(registry, http.MethodGet, "/v1/config", "")
	var document struct{ Version int }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &document) != nil {
		return 0, fmt.Sprintf("%d %s", status, strings.TrimSpace(text))
	}
	return document.Version, fmt.Sprintf("%d, version %d", status, document.Version)
}

// readBack asks the given registries in turn for the configuration, for the whole of a
// time, and returns the newest version that came.
func (f *fleet) readBack(during time.Duration, registries ...int) int {
	newest, last := 0, make(map[int]string)
	for end := time.Now().Add(during); time.Now().Before(end); {
		for _, registry := range registries {
			version, answer := f.read(registry)
			if answer != last[registry] {
				f.rec.note("operator: read back at registry-%d: %s", registry, answer)
				last[registry] = answer
			}
			newest = max(newest, version)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return newest
}
