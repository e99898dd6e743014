package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
)

func addAccount(p *flags.Parser) error {
	_, err := p.AddCommand("account", "count what became of all routed requests, by reason",
		"Reads collected logs of routers and counts the streams and calls that went well, and the others by the reason why they did not.", &accountCommand{})
	return err
}

type accountCommand struct {
	output
	Args struct {
		Logs []string `positional-arg-name:"LOGS" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	readers, done, err := openAll(c.Args.Logs)
	if err != nil {
		return err
	}
	defer done()
	a, err := explain.Summarize(readers)
	if err != nil {
		return err
	}
	return c.print(a, func() {
		printRows("STREAMS", a.Streams)
		printRows("CALLS", a.Calls)
		fmt.Printf("prompt tokens read again: %d\n", a.RecomputedTokens)
	})
}

func printRows(title string, rows []explain.Row) {
	all := 0
	for _, r := range rows {
		all += r.Count
	}
	table(title+"\tNUMBER\tSHARE\tFIRST\tLAST", func(w *tabwriter.Writer) {
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\t%s\n", r.Reason, r.Count, float64(r.Count)/float64(all), r.First.Format(time.TimeOnly), r.Last.Format(time.TimeOnly))
		}
	})
}

// openAll opens files to be read; done closes them.
func openAll(names []string) (readers []io.Reader, done func(), err error) {
	var files []*os.File
	done = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			done()
			return nil, nil, usageError("%v", err)
		}
		files, readers = append(files, f), append(readers, f)
	}
	return readers, done, nil
}
