// Command rig2 runs the cases of a review: it starts the project's own processes between stand-ins of the platform's
// store, of runners and of clients, and checks one rule from what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each gets whether the disruption is to take place.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"stale-hop":    staleHop,
	"lost-origins": lostOrigins,
	"reborn":       reborn,
	"bystander":    bystander,
}

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs rig2 CASE ROOT FOLDER: ROOT is that of the repository, FOLDER that of the case.
func execute(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE ROOT FOLDER")
		return exitNotRun
	}
	root, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	read, err := readNames(filepath.Join(root, "review", "rig2", "names.json"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return runCase(args[0], root, args[2], read)
}

func runCase(name, root, folder string, read names) int {
	w, err := newWorld(read, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case      %s, disruption %t", name, trouble)
	result, err := cases[name](w, trouble)
	if err != nil {
		result.text = "not run: " + err.Error()
	}
	w.note("result    %s", result.text)
	_, _ = fmt.Fprintln(os.Stderr, result.text)
	if writeErr := w.writeRecord(filepath.Join(folder, "record.txt")); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil:
		return exitNotRun
	case result.broken:
		return exitBroken
	}
	return exitHeld
}
