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
	_, err := p.AddCommand("account", "count the outcomes of all routed requests, by reason",
		"Reads collected logs of routers. Counts the streams and calls that succeeded, and the others by the reason of their failure.", &accountCommand{})
	return err
}

type accountCommand struct {
	outputOptions
	Args struct {
		Logs []string `positional-arg-name:"LOGS" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	readers, closeAll, err := openAll(c.Args.Logs)
	if err != nil {
		return err
	}
	defer closeAll()
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
	printTable(title+"\tNUMBER\tSHARE\tFIRST\tLAST", func(w *tabwriter.Writer) {
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\t%s\n", r.Reason, r.Count, float64(r.Count)/float64(all), r.First.Format(time.TimeOnly), r.Last.Format(time.TimeOnly))
		}
	})
}

// openAll opens the files for reading. The caller calls closeAll when it has read them.
func openAll(names []string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, usageError("%v", err)
		}
		files, readers = append(files, f), append(readers, f)
	}
	return readers, closeAll, nil
}
