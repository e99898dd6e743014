package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
)

// apiOptions are the options that every command of the operators' API has in common.
type apiOptions struct {
	Address []string `long:"address" env:"AMARANTHSHELF_ADDRESS" env-delim:"," default:"127.0.0.1:7401" value-name:"IP:PORT" description:"operator address of a VM; several are tried in order"`
	Token   string   `long:"token" env:"AMARANTHSHELF_TOKEN" default-mask:"-" value-name:"TOKEN" description:"operator token"`
	Who     string   `long:"who" env:"USER" default-mask:"-" value-name:"NAME" description:"your name as recorded in the history"`
	outputOptions
}

// outputOptions are the options of commands that print text or JSON.
type outputOptions struct {
	JSON bool `long:"json" description:"print the answer as JSON"`
}

// call runs f with a client of the operators' API. An interrupt by the user cancels f's
// context.
func (c *apiOptions) call(f func(ctx context.Context, o *client.Operator) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return f(ctx, client.NewOperator(c.Address, c.Token, c.Who))
}

// print writes data as JSON if --json is set. Otherwise it calls text.
func (c *outputOptions) print(data any, text func()) error {
	if !c.JSON {
		text()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(data)
}

// usageError returns an error with which the program exits with exitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

type subcommand struct {
	name, short, long string
	data              any
}

func addGroup(p *flags.Parser, name, short, long string, subs []subcommand) error {
	group, err := p.AddCommand(name, short, long, &struct{}{})
	if err != nil {
		return err
	}
	for _, s := range subs {
		if _, err := group.AddCommand(s.name, s.short, s.long, s.data); err != nil {
			return err
		}
	}
	return nil
}
