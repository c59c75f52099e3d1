// Command standin simulates one upstream for tests and benchmarks. It serves until
// it receives SIGTERM or SIGINT. Faults are injected on POST /v1/fault.
//
// # Usage
//
//	standin --http 127.0.0.1:9100 --agent 127.0.0.1:9001 --kind encode --slots 4
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/test/standin"
)

func main() {
	app := kingpin.New("standin", "Simulates one upstream for tests and benchmarks.")
	var cfg standin.Config
	app.Flag("http", "HTTP listen address as IP:port.").Default("127.0.0.1:0").StringVar(&cfg.Address)
	app.Flag("agent", "Announcement address of the agent, IP:port; empty for none.").StringVar(&cfg.Agent)
	app.Flag("kind", "Kind of upstream, such as encode or generate.").Required().StringVar(&cfg.Kind)
	app.Flag("model", "Name of the loaded model.").StringVar(&cfg.Model)
	app.Flag("slots", "Number of calls that run concurrently.").Default("4").IntVar(&cfg.Slots)
	app.Flag("base-us", "Base service time in microseconds.").Default("2000").Int64Var(&cfg.BaseUs)
	app.Flag("per-unit-us", "Additional service time in microseconds per unit of request size.").Default("200").Int64Var(&cfg.PerUnitUs)
	app.Flag("fenced", "Reject an order whose number is not higher than the last one.").BoolVar(&cfg.Fenced)
	app.Flag("record", "File to append executed at-most-once calls and accepted orders to.").StringVar(&cfg.RecordFile)
	app.Flag("lag", "Age of the load in a load report.").Default("1s").DurationVar(&cfg.ReportDelay)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := standin.Start(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	if err := s.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
}
