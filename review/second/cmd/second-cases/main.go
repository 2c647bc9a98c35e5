// Command second-cases plays the scripts of this review. Each case is a verb; it exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"baywall.example/review/second/rig"
)

// result of a case.
const (
	held = iota
	broken
	notRun
)

var cases = map[string]func(record *rig.Record, trouble bool) int{
	"reborn":  playReborn,
	"foreign": playForeign,
	"doubled": playDoubled,
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: second-cases CASE RECORD")
		os.Exit(notRun)
	}
	if os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	record, err := rig.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	os.Exit(play(record, os.Getenv("TROUBLE") != "0"))
}

// fail reports that a case could not run.
func fail(record *rig.Record, err error) int {
	record.Logf("the case could not run: %v", err)
	return notRun
}
