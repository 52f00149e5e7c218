package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTimeout bounds how long a stand-in takes to print its address.
	readyTimeout = 10 * time.Second
	// stopTimeout bounds a graceful stop; SIGKILL follows.
	stopTimeout = 8 * time.Second
	// logTailLines is the number of lines shown of each log after a failure.
	logTailLines = 25
	pollPause    = 20 * time.Millisecond

	listeningPrefix = "listening on "
)

// proc is a process that the demo started.
type proc struct {
	name string
	cmd  *exec.Cmd
	log  string        // file with its standard output and error
	done chan struct{} // closed when the process has ended and was waited for
	err  error         // result of Wait, valid after done
}

// pid is valid after the process has ended too.
func (p *proc) pid() int { return p.cmd.Process.Pid }

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// procs starts and stops processes. Only the processes that it started are signalled, by their process id.
type procs struct {
	dir string // for log files
	bin string // directory of the programs

	all []*proc // in the order of their start; used by the main goroutine only
}

// start starts a program with its own log file. The kernel kills it when the starting thread ends, so start must be called
// from the main goroutine, which is locked to its thread.
func (ps *procs) start(name, program string, args ...string) (*proc, error) {
	logFile := filepath.Join(ps.dir, name+".log")
	out, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(ps.bin, program), args...)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &proc{name: name, cmd: cmd, log: logFile, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	ps.all = append(ps.all, p)
	return p, nil
}

// address waits until a stand-in has printed its listen address.
func (p *proc) address(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		data, err := os.ReadFile(p.log)
		if err != nil {
			return "", err
		}
		for _, line := range strings.SplitAfter(string(data), "\n") {
			addr, ok := strings.CutPrefix(line, listeningPrefix)
			if ok && strings.HasSuffix(addr, "\n") {
				return strings.TrimSpace(addr), nil
			}
		}
		if p.ended() {
			return "", fmt.Errorf("%s ended before it listened (%s)", p.name, p.cmd.ProcessState)
		}
		if !pause(ctx, pollPause) {
			return "", fmt.Errorf("%s does not listen: %w", p.name, ctx.Err())
		}
	}
}

// run runs a program to its end and returns its output.
func (ps *procs) run(ctx context.Context, name, program string, args ...string) (string, error) {
	p, err := ps.start(name, program, args...)
	if err != nil {
		return "", err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		_ = p.cmd.Process.Kill()
		<-p.done
		return "", errors.Wrapf(ctx.Err(), "%s %s", program, strings.Join(args, " "))
	}
	out, err := os.ReadFile(p.log)
	if err != nil {
		return "", err
	}
	if p.err != nil {
		return string(out), fmt.Errorf("%s: %w: %s", name, p.err, strings.TrimSpace(string(out)))
	}
	return string(out), nil
}

// kill ends a process by SIGKILL and waits for its end.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop sends SIGTERM to the given processes at once and waits for their ends. A process that does not end in time is
// killed and named in the error, and so is one that ends with another status than 0.
func stop(list []*proc) error {
	running := make([]*proc, 0, len(list))
	for _, p := range list {
		if !p.ended() && p.cmd.Process.Signal(syscall.SIGTERM) == nil {
			running = append(running, p)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var faults []string
	for _, p := range running {
		select {
		case <-p.done:
		case <-ctx.Done():
		}
		if !p.ended() {
			p.kill()
			faults = append(faults, fmt.Sprintf("%s did not end within %s of SIGTERM", p.name, stopTimeout))
			continue
		}
		if p.err != nil {
			faults = append(faults, fmt.Sprintf("%s ended with %v", p.name, p.err))
		}
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

// killAll ends all processes that still run, as a last resort after a failure.
func (ps *procs) killAll() {
	for _, p := range ps.all {
		if !p.ended() {
			p.kill()
		}
	}
}

// left returns the processes that still exist. A process id that was waited for is free, so that signal 0 fails for it.
func (ps *procs) left() []string {
	var names []string
	for _, p := range ps.all {
		if !p.ended() || !errors.Is(syscall.Kill(p.pid(), 0), syscall.ESRCH) {
			names = append(names, fmt.Sprintf("%s (pid %d)", p.name, p.pid()))
		}
	}
	return names
}

// tails writes the last lines of all logs.
func (ps *procs) tails(w io.Writer) {
	for _, p := range ps.all {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		lines := bytes.Split(bytes.TrimRight(data, "\n"), []byte("\n"))
		lines = lines[max(0, len(lines)-logTailLines):]
		_, _ = fmt.Fprintf(w, "--- %s\n%s\n", p.name, bytes.Join(lines, []byte("\n")))
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
