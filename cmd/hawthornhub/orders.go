package main

import (
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/operator"
)

func orderCommands(app *kingpin.Application) []command {
	orders := app.Command("orders", "Send orders to upstreams and list them.")
	return []command{ordersGive(orders), ordersList(orders)}
}

func ordersGive(parent *kingpin.CmdClause) command {
	clause := parent.Command("give", "Send an order to the upstream of an agent.")
	client := newControlClient(clause)
	id := clause.Flag("id", "Order id; use the same id to retry an order whose answer was lost.").String()
	upstream := clause.Arg("upstream", "Name of the agent whose upstream gets the order.").Required().String()
	action := clause.Arg("action", "Action: load, adapter, version or role.").Required().Enum("load", "adapter", "version", "role")
	model := clause.Arg("model", "Argument of the action, e.g. the model to load.").Required().String()
	return command{clause: clause, run: func() error {
		if *id == "" {
			*id = uuid.Must(uuid.NewV7()).String()
		}
		var result operator.OrderResult
		if err := client.do(http.MethodPost, "/v1/orders", operator.Order{ID: *id, Upstream: *upstream, Action: *action, Model: *model}, &result); err != nil || *client.jsonOutput {
			return err
		}
		fmt.Printf("order %d obeyed %t %s\n", result.Number, result.Obeyed, result.Detail)
		if !result.Obeyed {
			return &exitError{code: exitRefused, err: fmt.Errorf("upstream did not execute the order: %s", result.Detail)}
		}
		return nil
	}}
}

func ordersList(parent *kingpin.CmdClause) command {
	clause := parent.Command("list", "List the most recent orders.")
	client := newControlClient(clause)
	return command{clause: clause, run: func() error {
		var orders []operator.Order
		if err := client.do(http.MethodGet, "/v1/orders", nil, &orders); err != nil || *client.jsonOutput {
			return err
		}
		for _, o := range orders {
			fmt.Printf("%8d %-14s %-10s %s\n", o.Number, o.Upstream, o.Action, o.Model)
		}
		return nil
	}}
}
