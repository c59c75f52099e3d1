package main

import (
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/admin"
)

func orderCommands(app *kingpin.Application) []command {
	orders := app.Command("orders", "Give engines orders and list them.")
	return []command{ordersGive(orders), ordersList(orders)}
}

func ordersGive(parent *kingpin.CmdClause) command {
	clause := parent.Command("give", "Give an order to the engine beside an agent.")
	r := remoteFlags(clause)
	id := clause.Flag("id", "Order id; give the same one again after a lost answer.").String()
	upstream := clause.Arg("upstream", "Agent beside the engine.").Required().String()
	action := clause.Arg("action", "load, adapter, version or role.").Required().Enum("load", "adapter", "version", "role")
	model := clause.Arg("model", "What the action names.").Required().String()
	return command{clause: clause, run: func() error {
		if *id == "" {
			*id = uuid.Must(uuid.NewV7()).String()
		}
		var out admin.OrderResult
		if err := r.do(http.MethodPost, "/v1/orders", admin.Order{ID: *id, Upstream: *upstream, Action: *action, Model: *model}, &out); err != nil || *r.json {
			return err
		}
		fmt.Printf("order %d obeyed %t %s\n", out.Number, out.Obeyed, out.Detail)
		if !out.Obeyed {
			return &exitError{code: exitRefused, err: fmt.Errorf("the order was not obeyed: %s", out.Detail)}
		}
		return nil
	}}
}

func ordersList(parent *kingpin.CmdClause) command {
	clause := parent.Command("list", "List the orders that are remembered.")
	r := remoteFlags(clause)
	return command{clause: clause, run: func() error {
		var orders []admin.Order
		if err := r.do(http.MethodGet, "/v1/orders", nil, &orders); err != nil || *r.json {
			return err
		}
		for _, o := range orders {
			fmt.Printf("%8d %-14s %-10s %s\n", o.Number, o.Upstream, o.Action, o.Model)
		}
		return nil
	}}
}
