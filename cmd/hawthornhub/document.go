package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
	"hawthornhub.example/hawthornhub/platform"
)

func documentCommands(app *kingpin.Application) []command {
	document := app.Command("document", "Read and replace the site document, the configuration of the gateways.")
	return []command{documentGet(document), documentPut(document)}
}

// registryClient connects to registries as a peer, over the links between the
// fleet's processes, and authenticates with the fleet key.
type registryClient struct {
	addresses *[]string
	keyFile   *string
}

// newRegistryClient adds the flags shared by the document commands to a command,
// and returns the client that they configure.
func newRegistryClient(clause *kingpin.CmdClause) registryClient {
	return registryClient{
		addresses: clause.Flag("control", "Link address of a registry as IP:port; repeat the flag for each registry.").Required().Strings(),
		keyFile:   clause.Flag("key-file", "File with the fleet key.").Required().ExistingFile(),
	}
}

// run calls f with a control client for the registries. The error has the exit
// code exitNoAnswer if no quorum answered in time.
func (r registryClient) run(f func(ctx context.Context, c *control.Client) error) (err error) {
	key, err := settings.Site{FleetKeyFile: *r.keyFile}.FleetKey()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	pool := link.NewPool(link.PoolConfig{Local: link.Local{Name: "operator"}, Auth: link.Auth{Key: key}, DialTimeout: linkDialTimeout})
	defer func() { err = errors.Join(err, pool.Close()) }()
	var peers []control.Address
	for _, a := range *r.addresses {
		peers = append(peers, control.Address{Name: a, Link: a})
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	err = f(ctx, control.NewClient(control.ClientConfig{Pool: pool, Peers: peers}))
	var unavailable *control.UnavailableError
	if errors.As(err, &unavailable) {
		return &exitError{code: exitNoAnswer, err: err}
	}
	return err
}

func documentGet(parent *kingpin.CmdClause) command {
	clause := parent.Command("get", "Print the current site document byte for byte, confirmed by a quorum.")
	client := newRegistryClient(clause)
	return command{clause: clause, run: func() error {
		return client.run(func(ctx context.Context, c *control.Client) error {
			reply, err := c.Read(ctx, &fleetpb.Read{Adopted: true})
			if err != nil {
				return err
			}
			if reply.Adopted == nil {
				return &exitError{code: exitRefused, err: errors.New("no site document has been stored yet; store one with hawthornhub document put")}
			}
			text, err := site.Text(reply.Adopted)
			if err != nil {
				return err
			}
			_, err = os.Stdout.Write(text)
			return err
		})
	}}
}

func documentPut(parent *kingpin.CmdClause) command {
	clause := parent.Command("put", "Validate a site document and put it into force, unless a higher version already is.")
	client := newRegistryClient(clause)
	file := clause.Flag("file", "File with the whole document.").Required().ExistingFile()
	return command{clause: clause, run: func() error {
		text, err := os.ReadFile(*file)
		if err != nil {
			return fmt.Errorf("read document: %w", err)
		}
		return client.run(func(ctx context.Context, c *control.Client) error {
			d, err := admitDocument(ctx, c, text)
			if err != nil {
				return err
			}
			result, err := c.Propose(ctx, &statepb.Command{Body: &statepb.Command_Adopt{Adopt: site.NewAdopt(d.Version, text)}})
			if err != nil {
				return err
			}
			if result.Version > d.Version {
				return &exitError{code: exitRefused, err: fmt.Errorf("version %d is already in force; give the document a higher version", result.Version)}
			}
			fmt.Printf("version %d stands, index %d\n", result.Version, result.Index)
			return nil
		})
	}}
}

// admitDocument decodes and validates a document. The document in force is valid in any case: an
// earlier version of the program may have accepted it by other rules.
func admitDocument(ctx context.Context, c *control.Client, text []byte) (*site.Document, error) {
	d, err := platform.DecodeSubmitted(text)
	if err == nil {
		err = d.Validate()
	}
	if err == nil {
		return d, nil
	}
	invalid := &exitError{code: exitUsage, err: err}
	stored, err := platform.DecodeDocument(text)
	if err != nil || stored.ValidateStored() != nil {
		return nil, invalid
	}
	reply, err := c.Read(ctx, &fleetpb.Read{Adopted: true})
	if err != nil {
		return nil, err
	}
	if reply.Adopted == nil {
		return nil, invalid
	}
	current, err := site.Text(reply.Adopted)
	if err != nil || !bytes.Equal(current, text) {
		return nil, invalid
	}
	return stored, nil
}
