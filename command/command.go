// Package command implements the berylwharf command line. Run executes a command in-process, so tests need no binary.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
)

// Default values of the shared flags.
const (
	DefaultServer  = "http://127.0.0.1:8081"
	DefaultTimeout = 30 * time.Second
)

// Env holds the standard streams and the sleep function of a command.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Sleep is passed to operator.ClientConfig. If nil, a timer is used.
	Sleep func(context.Context, time.Duration) error
}

// Run executes the command in args, which start with the program name, and returns the exit code. Cancelling ctx stops the
// command.
func Run(ctx context.Context, args []string, env Env) int {
	app := newApp(env)
	err := app.RunContext(ctx, reorderArgs(app, args))
	if err != nil {
		printError(env.Stderr, err, wantsJSON(args))
	}
	return exitCode(err)
}

func newApp(env Env) *cli.App {
	r := &builder{env: env}
	app := &cli.App{
		Name:                 "berylwharf",
		Usage:                "declare and watch the resources of a fleet",
		Reader:               env.Stdin,
		Writer:               env.Stdout,
		ErrWriter:            env.Stderr,
		HideVersion:          true,
		EnableBashCompletion: true,
		ExitErrHandler:       func(*cli.Context, error) {}, // Run maps errors to exit codes
		OnUsageError:         onUsageError,
		Action: func(c *cli.Context) error {
			if c.Args().Present() {
				return usageErrorf("unknown command %q; see berylwharf --help", c.Args().First())
			}
			_ = cli.ShowAppHelp(c)
			return usageErrorf("no command")
		},
		Commands: []*cli.Command{
			r.apply(), r.get(), r.describe(), r.diff(), r.delete(), r.watch(), r.drain(), r.move(), r.pause(),
			r.resume(), r.plan(), r.explain(), r.nodes(), r.change(), r.trace(), r.completion(),
		},
	}
	for _, c := range app.Commands {
		c.OnUsageError = onUsageError
	}
	return app
}

// builder creates the command definitions.
type builder struct{ env Env }

// session is one execution of a command that calls the operators' API.
type session struct {
	*cli.Context
	env    Env
	client *operator.Client
}

// sharedFlags returns the flags of every command that calls the operators' API, followed by more.
func sharedFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "server", Usage: "`URL` of the operators' API", EnvVars: []string{"BERYLWHARF_SERVER"}, Value: DefaultServer},
		&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN`", EnvVars: []string{"BERYLWHARF_TOKEN"}},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `DURATION` of the command", Value: DefaultTimeout},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table or json", Value: "table"},
	}, more...)
}

// changeFlags returns the flags of commands that change resources, followed by more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return sharedFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", EnvVars: []string{"USER"}},
		&cli.Uint64Flag{Name: "base", Usage: "`VERSION` on which the change is based, instead of the one that is read"},
	}, more...)...)
}

func fileFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with resources, - for standard input; may be repeated"}
}

// action returns an action that creates a session and calls f with a context limited by --timeout.
func (b *builder) action(f func(context.Context, *session) error) cli.ActionFunc {
	return func(c *cli.Context) error {
		ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
		defer cancel()
		s, err := b.session(c)
		if err != nil {
			return err
		}
		return f(ctx, s)
	}
}

func (b *builder) session(c *cli.Context) (*session, error) {
	if format := c.String("output"); format != "table" && format != "json" {
		return nil, usageErrorf("output %q (permitted: table, json)", format)
	}
	if c.Duration("timeout") <= 0 {
		return nil, usageErrorf("timeout %s (permitted: above 0)", c.Duration("timeout"))
	}
	client, err := operator.NewClient(operator.ClientConfig{URL: c.String("server"), Token: c.String("token"), Sleep: b.env.Sleep})
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	return &session{Context: c, env: b.env, client: client}, nil
}

func (s *session) json() bool { return s.String("output") == "json" }

func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.env.Stdout, format, args...)
}

// author returns the operator's name, which is required for every change.
func (s *session) author() (string, error) {
	if author := s.String("author"); author != "" {
		return author, nil
	}
	return "", usageErrorf("no author; set --author or USER")
}

// baseVersion returns the value of --base if it is set, otherwise the version that was read.
func (s *session) baseVersion(read uint64) uint64 {
	if s.IsSet("base") {
		return s.Uint64("base")
	}
	return read
}
