//go:build review

// Command review-rig plays the cases of review/ that are scripts: it starts the programs of the
// deploy file on loopback, with stand-ins of the store, the replicas, the operator and the
// clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// caseFunc plays a case. It returns how the rule was broken, nothing if it held.
type caseFunc func(d *deployment, trouble bool) (broken []string, err error)

// cases holds the cases by name; the file of each adds it.
var cases = map[string]caseFunc{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		return 2
	}
	rec, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		d.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	d.close()
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		rec.add("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
