//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// verdict is the result of a case: whether the rule was broken, and what was counted.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"1": fullEngines,
	"2": oversizeRequest,
	"3": longBodies,
}

// Usage: standin CASE FOLDER, with the repository as the working directory.
func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	w.note("case %s, trouble %s", os.Args[1], strconv.FormatBool(trouble))
	v, err := cases[os.Args[1]](w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannotRun
	}
	w.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
