package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit ends a case that does not end by itself; a case must end within 120 s.
const limit = 115 * time.Second

// cases are the scripted cases by name. Each returns whether its rule was broken.
var cases = map[string]func(ctx context.Context, r *rig, trouble bool) (broken bool, err error){
	"freeze": playFreeze,
	"retire": playRetire,
	"seeds":  playSeeds,
}

// specs are the deployments of the cases.
var specs = map[string]deployment{
	"freeze": {zones: 4, edges: 3},
	"retire": {zones: 3, edges: 1, diskless: true},
	"seeds":  {zones: 4, edges: 2, diskless: true},
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	programs := flag.String("programs", "target", "folder with the system's programs")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := start(ctx, *programs, *record, specs[*name])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	broken, err := play(ctx, r, *trouble)
	r.writeHistory()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
