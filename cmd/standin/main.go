// Command standin is a stand-in for one upstream of the platform. It serves
// until it is told to stop; faults are set on POST /v1/fault.
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
	app := kingpin.New("standin", "Stand-in for one upstream.")
	var cfg standin.Config
	app.Flag("http", "Address to serve at.").Default("127.0.0.1:0").StringVar(&cfg.Address)
	app.Flag("agent", "Announcement address of the agent.").StringVar(&cfg.Agent)
	app.Flag("kind", "Kind of upstream.").Required().StringVar(&cfg.Kind)
	app.Flag("model", "Model loaded.").StringVar(&cfg.Model)
	app.Flag("slots", "Calls run at once.").Default("4").IntVar(&cfg.Slots)
	app.Flag("base-us", "Base service time in microseconds.").Default("2000").Int64Var(&cfg.BaseUs)
	app.Flag("per-unit-us", "Service time in microseconds a unit of size.").Default("200").Int64Var(&cfg.PerUnitUs)
	app.Flag("fenced", "Refuse orders with old numbers.").BoolVar(&cfg.Fenced)
	app.Flag("record", "File to write paid actions to.").StringVar(&cfg.Record)
	app.Flag("lag", "Age of the load reports.").Default("1s").DurationVar(&cfg.Lag)
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
