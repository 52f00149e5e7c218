// Command review3 plays the script cases of the third review. It starts nodes of the job manager as separate processes, with
// stand-ins of the platform around them, and judges a rule by what workers, clients and the platform have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not be played.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
)

// playTimeout ends a case that hangs, before the time that a script may take is over.
const playTimeout = 115 * time.Second

// verdict is the result of a case: the violations of the rule, and what the case counted.
type verdict struct {
	violations []string
	summary    string
}

// cases holds the function of each case by name. With trouble unset, a case leaves the disruption out.
var cases = map[string]func(w *world, trouble bool) (*verdict, error){
	"scheduled-memory": playScheduledMemory,
	"scheduled-cut":    playScheduledCut,
	"machine-list":     playMachineList,
	"checkpoints":      playCheckpoints,
	"strong-lost":      playStrongLost,
	"crowd":            playCrowd,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder that receives record.txt")
	binary := flag.String("bin", "target/berylwharfd", "program of the nodes")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs of the nodes")
	flag.Parse()
	os.Exit(run(*name, *dir, *binary, *trouble, *keep))
}

func run(name, dir, binary string, trouble, keep bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNoResult
	}
	w, err := newWorld(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	}
	v, err := playInTime(w, play, trouble)
	w.close(keep)
	if saveErr := w.record.save(filepath.Join(dir, "record.txt")); err == nil {
		err = saveErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		return exitNoResult
	}
	fmt.Println(v.summary)
	const shown = 10
	for _, line := range v.violations[:min(shown, len(v.violations))] {
		fmt.Println("  " + line)
	}
	if len(v.violations) > 0 {
		fmt.Printf("broken %d times\n", len(v.violations))
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// playInTime plays a case and returns an error if it hangs.
func playInTime(w *world, play func(*world, bool) (*verdict, error), trouble bool) (*verdict, error) {
	type result struct {
		v   *verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(w, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.v, r.err
	case <-time.After(playTimeout):
		return nil, errors.New("the time is over")
	}
}
