// Command berylwharf is the command-line tool for operators, see docs/operators.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/berylwharf/berylwharf/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args, command.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr})
	stop()
	os.Exit(code)
}
