package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/platform"
)

const (
	// resendTime is how long a request without a clear answer is sent again to the
	// registries in turn, and resendInterval the time between two tries.
	resendTime     = 5 * time.Second
	resendInterval = 100 * time.Millisecond
	// registryTimeout is the maximum duration of one request to a registry.
	registryTimeout = 3 * time.Second
)

func evacuationCommands(app *kingpin.Application) []command {
	return []command{
		zoneCommand(app.Command("evacuate", "Send nothing more to the upstreams of an availability zone."), false),
		zoneCommand(app.Command("restore", "Revoke the evacuation of an availability zone."), true),
	}
}

func registryFlag(clause *kingpin.CmdClause) *[]string {
	return clause.Flag("registry", "HTTP address of a registry as IP:port; repeat the flag for each registry.").Strings()
}

func zoneCommand(clause *kingpin.CmdClause, restore bool) command {
	client := newOptionalControlClient(clause)
	registries := registryFlag(clause)
	zone := clause.Arg("zone", "Name of the availability zone.").Required().String()
	return command{clause: clause, run: func() error {
		if len(*registries) > 0 {
			return orderAtRegistries(*registries, *zone, restore)
		}
		if err := client.check(); err != nil {
			return err
		}
		method := http.MethodPost
		if restore {
			method = http.MethodDelete
		}
		var e operator.Evacuation
		if err := client.do(method, "/v1/evacuations/"+url.PathEscape(*zone), nil, &e); err != nil || *client.jsonOutput {
			return err
		}
		printOrder(e.Zone, restore)
		return nil
	}}
}

func printOrder(zone string, restored bool) {
	if restored {
		fmt.Println("zone", zone, "is restored; its load rises over some seconds")
		return
	}
	fmt.Println("zone", zone, "is evacuated; its upstreams get nothing more")
}

func orderAtRegistries(addresses []string, zone string, restore bool) error {
	_, err := askRegistries(addresses, func(address string) (*http.Request, error) {
		return platform.NewZoneOrder(address, zone, restore)
	})
	if err == nil {
		printOrder(zone, restore)
	}
	return err
}

// printZones prints the evacuated zones that a registry reports, or its answer.
func printZones(addresses []string, asJSON bool) error {
	answer, err := askRegistries(addresses, platform.NewZonesRequest)
	if err != nil {
		return err
	}
	if asJSON {
		fmt.Println(string(answer))
		return nil
	}
	zones, err := platform.DecodeZones(answer)
	switch {
	case err != nil:
		return err
	case len(zones) == 0:
		fmt.Println("no zone is evacuated")
	default:
		fmt.Println("evacuated zones:", strings.Join(zones, ", "))
	}
	return nil
}

// askRegistries sends a request to the registries in turn until one gives a clear answer or
// resendTime has passed, and returns the answer.
func askRegistries(addresses []string, newRequest func(address string) (*http.Request, error)) ([]byte, error) {
	start := time.Now()
	for try := 0; ; try++ {
		r, err := newRequest(addresses[try%len(addresses)])
		if err != nil {
			return nil, &exitError{code: exitUsage, err: fmt.Errorf("%w; check --registry", err)}
		}
		status, answer, err := askRegistry(r)
		switch {
		case status >= http.StatusOK && status < http.StatusMultipleChoices:
			return answer, nil
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
			return nil, &exitError{code: exitRefused, err: fmt.Errorf("request refused (status %d): %s", status, answer)}
		case time.Since(start) > resendTime:
			return nil, &exitError{code: exitNoAnswer, err: errors.Join(fmt.Errorf("no registry confirmed it in %v (last status %d %s); give it again", resendTime, status, answer), err)}
		}
		time.Sleep(resendInterval)
	}
}

func askRegistry(r *http.Request) (int, []byte, error) {
	resp, err := (&http.Client{Timeout: registryTimeout}).Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, bytes.TrimSpace(answer), err
}
