package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
	"hawthornhub.example/hawthornhub/platform"
)

func documentCommands(app *kingpin.Application) []command {
	document := app.Command("document", "Read and replace the site document that gateways act under.")
	return []command{documentGet(document), documentPut(document)}
}

// linked is how commands reach registries: over the fleet's own links.
type linked struct {
	addresses *[]string
	keyFile   *string
}

func linkedFlags(clause *kingpin.CmdClause) linked {
	return linked{
		addresses: clause.Flag("control", "Link address of a registry as IP:port; name all of them, one flag each.").Required().Strings(),
		keyFile:   clause.Flag("key-file", "File with the fleet's key.").Required().ExistingFile(),
	}
}

// do calls act with a client of the registries.
func (l linked) do(act func(ctx context.Context, c *control.Client) error) (err error) {
	key, err := settings.Site{FleetKeyFile: *l.keyFile}.FleetKey()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	pool := link.NewPool(link.PoolConfig{Local: link.Local{Name: "operator"}, Auth: link.Auth{Key: key}, DialTimeout: siteDial})
	defer func() { err = errors.Join(err, pool.Close()) }()
	var peers []control.Address
	for _, a := range *l.addresses {
		peers = append(peers, control.Address{Name: a, Link: a})
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	err = act(ctx, control.NewClient(control.ClientConfig{Pool: pool, Peers: peers}))
	var unavailable *control.UnavailableError
	if errors.As(err, &unavailable) {
		return &exitError{code: exitNoAnswer, err: err}
	}
	return err
}

func documentGet(parent *kingpin.CmdClause) command {
	clause := parent.Command("get", "Print the site document that a quorum confirms, byte for byte.")
	l := linkedFlags(clause)
	return command{clause: clause, run: func() error {
		return l.do(func(ctx context.Context, c *control.Client) error {
			reply, err := c.Read(ctx, &fleetpb.Read{Adopted: true})
			if err != nil {
				return err
			}
			if reply.Adopted == nil {
				return &exitError{code: exitRefused, err: errors.New("no site document yet; put one")}
			}
			_, err = os.Stdout.Write(reply.Adopted.Text)
			return err
		})
	}}
}

func documentPut(parent *kingpin.CmdClause) command {
	clause := parent.Command("put", "Check a site document and put it in force; the highest version stands.")
	l := linkedFlags(clause)
	file := clause.Flag("file", "File with the whole document.").Required().ExistingFile()
	return command{clause: clause, run: func() error {
		text, err := os.ReadFile(*file)
		if err != nil {
			return fmt.Errorf("read document: %w", err)
		}
		d, err := platform.DecodeDocument(text)
		if err == nil {
			err = d.Validate()
		}
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		return l.do(func(ctx context.Context, c *control.Client) error {
			result, err := c.Propose(ctx, &statepb.Command{Body: &statepb.Command_Adopt{Adopt: &statepb.Adopt{Version: d.Version, Text: text}}})
			if err != nil {
				return err
			}
			if result.Version > d.Version {
				return &exitError{code: exitRefused, err: fmt.Errorf("version %d stands, which is higher; give the document a higher version", result.Version)}
			}
			fmt.Printf("version %d stands, index %d\n", result.Version, result.Index)
			return nil
		})
	}}
}
