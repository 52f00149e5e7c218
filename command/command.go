// Package command is the command line of berylwharf. Run executes one command in-process, so that tests need no binary.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
)

// Defaults of the shared flags.
const (
	DefaultServer  = "http://127.0.0.1:8081"
	DefaultTimeout = 30 * time.Second
)

// Env is what a command uses of its process.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Wait replaces the waiting between questions about an unknown outcome. Nil: a timer.
	Wait func(context.Context, time.Duration) error
}

// Run executes the command in args, which start with the program name, and returns the exit code. The end of ctx stops
// the command.
func Run(ctx context.Context, args []string, env Env) int {
	app := newApp(env)
	err := app.RunContext(ctx, reorder(app, args))
	if err != nil {
		printError(env.Stderr, err, wantsJSON(args))
	}
	return exitCode(err)
}

func newApp(env Env) *cli.App {
	r := &runner{env: env}
	app := &cli.App{
		Name:                 "berylwharf",
		Usage:                "declare and watch the resources of a fleet",
		Reader:               env.Stdin,
		Writer:               env.Stdout,
		ErrWriter:            env.Stderr,
		HideVersion:          true,
		EnableBashCompletion: true,
		ExitErrHandler:       func(*cli.Context, error) {}, // Run maps errors to exit codes
		OnUsageError:         usageFault,
		Action: func(c *cli.Context) error {
			if c.Args().Present() {
				return usagef("unknown command %q; see berylwharf --help", c.Args().First())
			}
			_ = cli.ShowAppHelp(c)
			return usagef("no command")
		},
		Commands: []*cli.Command{
			r.apply(), r.get(), r.describe(), r.diff(), r.delete(), r.watch(), r.drain(), r.move(), r.pause(),
			r.resume(), r.plan(), r.explain(), r.nodes(), r.change(), r.trace(), r.completion(),
		},
	}
	for _, c := range app.Commands {
		c.OnUsageError = usageFault
	}
	return app
}

// runner makes the commands.
type runner struct{ env Env }

// session is one run of a command that talks to the server.
type session struct {
	*cli.Context
	env    Env
	client *operator.Client
}

// Flags that several commands share.
func sharedFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "server", Usage: "`URL` of the operators' API", EnvVars: []string{"BERYLWHARF_SERVER"}, Value: DefaultServer},
		&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN`", EnvVars: []string{"BERYLWHARF_TOKEN"}},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `DURATION` of the command", Value: DefaultTimeout},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table or json", Value: "table"},
	}, more...)
}

// changeFlags are the flags of commands that change resources.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return sharedFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "`NAME` of the operator", EnvVars: []string{"USER"}},
		&cli.Uint64Flag{Name: "base", Usage: "`VERSION` on which the change is based, instead of the one that is read"},
	}, more...)...)
}

func fileFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with resources, - for standard input; may be repeated"}
}

// action checks the flags, opens a client and runs f within the timeout.
func (r *runner) action(f func(context.Context, *session) error) cli.ActionFunc {
	return func(c *cli.Context) error {
		ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
		defer cancel()
		s, err := r.session(c)
		if err != nil {
			return err
		}
		return f(ctx, s)
	}
}

func (r *runner) session(c *cli.Context) (*session, error) {
	if format := c.String("output"); format != "table" && format != "json" {
		return nil, usagef("output %q (permitted: table, json)", format)
	}
	if c.Duration("timeout") <= 0 {
		return nil, usagef("timeout %s (permitted: above 0)", c.Duration("timeout"))
	}
	client, err := operator.NewClient(operator.ClientConfig{URL: c.String("server"), Token: c.String("token"), Sleep: r.env.Wait})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return &session{Context: c, env: r.env, client: client}, nil
}

func (s *session) json() bool { return s.String("output") == "json" }

func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.env.Stdout, format, args...)
}

// author returns the operator's name, which every change needs.
func (s *session) author() (string, error) {
	if author := s.String("author"); author != "" {
		return author, nil
	}
	return "", usagef("no author; set --author or USER")
}

// base returns the explicit base version, or the one that was read.
func (s *session) base(read uint64) uint64 {
	if s.IsSet("base") {
		return s.Uint64("base")
	}
	return read
}
