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
	// listenTimeout is how long a stand-in may take to print its listen address.
	listenTimeout = 10 * time.Second
	// stopTimeout is how long a process may take to exit after SIGTERM; SIGKILL follows.
	stopTimeout = 8 * time.Second
	// logTailLines is the number of lines of each log that are printed after a failure.
	logTailLines = 25
	pollInterval = 20 * time.Millisecond

	listeningPrefix = "listening on "
)

// proc is a child process of the demo.
type proc struct {
	name string
	cmd  *exec.Cmd
	log  string        // path of the file that receives standard output and error
	done chan struct{} // closed when the process has exited and Wait has returned
	err  error         // result of Wait, valid once done is closed
}

// pid returns the process ID, which stays available after the process has exited.
func (p *proc) pid() int { return p.cmd.Process.Pid }

func (p *proc) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// procs starts and stops child processes. It signals only processes that it started, by process ID.
type procs struct {
	dir string // directory for log files
	bin string // directory of the executables

	all []*proc // in start order; accessed only by the main goroutine
}

// start starts a program with a log file of its own. Because of Pdeathsig, the kernel kills the process when the thread that
// started it exits, so start must be called from the main goroutine, which is locked to its thread.
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

// address waits until a stand-in has printed its listen address and returns it.
func (p *proc) address(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
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
		if p.exited() {
			return "", fmt.Errorf("%s exited before listening (%s)", p.name, p.cmd.ProcessState)
		}
		if !sleep(ctx, pollInterval) {
			return "", fmt.Errorf("%s did not print its listen address: %w", p.name, ctx.Err())
		}
	}
}

// run runs a program until it exits and returns its output. It kills the program when ctx ends.
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

// kill sends SIGKILL to the process and waits until it has exited.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop sends SIGTERM to all given processes and then waits until they have exited. The error names each process that exits
// with a status other than 0 or does not exit within stopTimeout; the latter is killed.
func stop(list []*proc) error {
	running := make([]*proc, 0, len(list))
	for _, p := range list {
		if !p.exited() && p.cmd.Process.Signal(syscall.SIGTERM) == nil {
			running = append(running, p)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var failures []string
	for _, p := range running {
		select {
		case <-p.done:
		case <-ctx.Done():
		}
		if !p.exited() {
			p.kill()
			failures = append(failures, fmt.Sprintf("%s did not exit within %s of SIGTERM and was killed", p.name, stopTimeout))
			continue
		}
		if p.err != nil {
			failures = append(failures, fmt.Sprintf("%s failed on SIGTERM: %v", p.name, p.err))
		}
	}
	if len(failures) > 0 {
		return errors.New(strings.Join(failures, "; "))
	}
	return nil
}

// killAll kills all processes that are still running. It is the last resort after a failed graceful stop.
func (ps *procs) killAll() {
	for _, p := range ps.all {
		if !p.exited() {
			p.kill()
		}
	}
}

// remaining returns the processes that still exist. Signal 0 fails with ESRCH for a process that has been waited for.
func (ps *procs) remaining() []string {
	var names []string
	for _, p := range ps.all {
		if !p.exited() || !errors.Is(syscall.Kill(p.pid(), 0), syscall.ESRCH) {
			names = append(names, fmt.Sprintf("%s (pid %d)", p.name, p.pid()))
		}
	}
	return names
}

// writeLogTails writes the last logTailLines lines of each log to w.
func (ps *procs) writeLogTails(w io.Writer) {
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

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
