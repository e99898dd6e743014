package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

func addRoutes(p *flags.Parser) error {
	return addGroup(p, "routes", "the route list", "Shows and changes the list of routes, services and workspaces.", []subcommand{
		{"show", "print the list in force", "Prints the list in the form in which it was put. A majority of the control group confirms that it is in force.", &routesShow{}},
		{"put", "put a list in force", "Checks the file and sends it. The list with the highest version is in force.", &routesPut{}},
		{"check", "check a file", "Reports errors in a list without sending it.", &routesCheck{}},
	})
}

type routesShow struct{ apiOptions }

// Execute implements flags.Commander.
func (c *routesShow) Execute([]string) error {
	return c.call(func(ctx context.Context, o *client.Operator) error {
		raw, err := o.Routes(ctx)
		if err != nil {
			return err
		}
		return c.print(raw, func() { fmt.Println(string(raw)) })
	})
}

type routesFile struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// read returns the content of the file, which it has checked to be a valid route list.
func (f *routesFile) read() ([]byte, error) {
	data, err := os.ReadFile(f.Args.File)
	if err != nil {
		return nil, usageError("%v", err)
	}
	if _, err := routes.Parse(data); err != nil {
		return nil, usageError("%s: %v", f.Args.File, err)
	}
	return data, nil
}

type routesPut struct {
	apiOptions
	routesFile
}

// Execute implements flags.Commander.
func (c *routesPut) Execute([]string) error {
	data, err := c.read()
	if err != nil {
		return err
	}
	return c.call(func(ctx context.Context, o *client.Operator) error {
		w, err := o.PutRoutes(ctx, data)
		if err != nil {
			return err
		}
		return c.print(w, func() { fmt.Printf("version %d accepted, version %d in force\n", w.Version, w.InForce) })
	})
}

type routesCheck struct{ routesFile }

// Execute implements flags.Commander.
func (c *routesCheck) Execute([]string) error {
	if _, err := c.read(); err != nil {
		return err
	}
	fmt.Println("the list is valid")
	return nil
}
