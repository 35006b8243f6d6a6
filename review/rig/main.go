// Command rig plays the cases of the review: it starts instances of the product as separate processes and plays
// the store, the endpoints and the callers on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// cases maps the name of each case to the function that plays it. It returns what broke the rule, or "".
var cases = map[string]func(w *world, trouble bool) (broken string, err error){
	"alias":   playAlias,
	"flood":   playFlood,
	"seeds":   playSeeds,
	"service": playService,
	"star":    playStar,
	"stop":    playStop,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	gate := flag.String("gate", "", "the program of the product")
	record := flag.String("record", "", "the file for what is sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotPlayed
	}
	w, err := newWorld(*gate, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer w.close()
	w.closeEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption %t", *name, trouble)
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.note("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	case broken != "":
		w.note("rule broken: %s", broken)
		fmt.Fprintln(os.Stderr, "rule broken:", broken)
		return exitBroken
	}
	w.note("rule held")
	return exitHeld
}
