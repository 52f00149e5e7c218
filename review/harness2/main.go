// Command harness2 plays the cases of the second independent review against nodes of the job manager as separate
// processes. The platform's store, the machine service, the advice service and the workers are stand-ins in this process.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxDuration  = 118 * time.Second
	recordLayout = "15:04:05.000"
)

// scenario plays a case and returns what broke the rule, one line each.
type scenario func(f *fleet, trouble bool) ([]string, error)

var scenarios = map[string]func() (options, scenario){
	"advice": adviceCase,
	"kind":   kindCase,
	"moved":  movedCase,
	"gang":   gangCase,
	"cancel": cancelCase,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("bin", "target/berylwharfd", "program of the nodes")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for the nodes' logs; a temporary one if empty")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	flag.Parse()
	newScenario := scenarios[*name]
	if newScenario == nil {
		fmt.Fprintln(os.Stderr, "harness2: unknown case", *name)
		return exitNotRun
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness2:", err)
		return exitNotRun
	}
	defer rec.close()
	o, play := newScenario()
	f, err := newFleet(o, *binary, *logs, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness2:", err)
		return exitNotRun
	}
	defer f.close()
	go abortOnSignal(f)
	broken, err := play(f, *trouble)
	return report(rec, broken, err)
}

// abortOnSignal ends all processes of the fleet and exits when this process is told to stop or takes too long.
func abortOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	fmt.Fprintln(os.Stderr, "harness2: the case was stopped or took too long")
	f.close()
	os.Exit(exitNotRun)
}

// report prints and records the verdict and returns the exit code.
func report(rec *record, broken []string, err error) int {
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "harness2:", err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.line("BROKEN %s", b)
	}
	fmt.Printf("%d breaks of the rule\n", len(broken))
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.line("the rule held")
	return exitHeld
}
