// Command second runs the cases of the second review, each against the real programs with
// stand-ins for clients, servers and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// run is what a case needs.
type run struct {
	record  *recorder
	engines *engines
	trouble bool
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by the name of their folder, and findings beside them by a word.
var cases = map[string]func(*run) (verdict, error){}

// children are what a case runs as processes of their own, each with one argument.
var children = map[string]func(argument string) int{}

// recordPath returns where a case writes its record. A finding beside the cases has no folder.
func recordPath(name string) string {
	folder := filepath.Join("review", name)
	if _, err := os.Stat(folder); err != nil {
		return filepath.Join(os.TempDir(), "record-"+name+".txt")
	}
	return filepath.Join(folder, "record.txt")
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) == 3 && children[os.Args[1]] != nil {
		return children[os.Args[1]](os.Args[2])
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE")
		return exitFailed
	}
	rec, err := newRecorder(recordPath(os.Args[1]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	v, err := cases[os.Args[1]](&run{record: rec, engines: &engines{}, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.note("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case v.broken:
		rec.note("case", "BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return exitBroken
	}
	rec.note("case", "held: %s", v.text)
	fmt.Println("held:", v.text)
	return exitHeld
}
