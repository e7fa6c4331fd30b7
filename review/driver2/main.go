//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"
)

// playTime bounds a case.
const playTime = 100 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the cases by name. Each returns what broke the rule, or an error when it couldn't run.
var cases = map[string]func(ctx context.Context, r *Record, trouble bool) (broken []string, err error){
	"backlog":        playBacklog,
	"late-heartbeat": playLateHeartbeat,
	"resume":         playResume,
	"target":         playTarget,
	"leaving":        playLeaving,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names and writes its record to the file that the second one names.
func run() int {
	// The processes get a signal when the thread that started them ends.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE RECORD")
		return exitFailed
	}
	r, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r.Log("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](ctx, r, trouble)
	if err != nil {
		r.Log("the case couldn't run: %v", err)
		return exitFailed
	}
	if len(broken) == 0 {
		r.Log("the rule held")
		return exitHeld
	}
	for _, b := range broken {
		r.Log("broken: %s", b)
	}
	return exitBroken
}
