package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
)

func (b *builder) watch() *cli.Command {
	return &cli.Command{
		Name:         "watch",
		Usage:        "print the resources, then every change, until interrupted or until an explicit --timeout",
		ArgsUsage:    "[KIND]",
		Flags:        sharedFlags(&cli.Uint64Flag{Name: "from", Usage: "start with resources changed at or after `OFFSET`"}),
		BashComplete: completeKinds,
		Action: func(c *cli.Context) error {
			s, err := b.session(c)
			if err != nil {
				return err
			}
			ctx := c.Context
			if c.IsSet("timeout") {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, c.Duration("timeout"))
				defer cancel()
			}
			return runWatch(ctx, s)
		},
	}
}

func runWatch(ctx context.Context, s *session) error {
	args, err := checkArgCount(s.Context, 0, 1)
	if err != nil {
		return err
	}
	req := operator.WatchRequest{From: s.Uint64("from"), OnReconnect: func(cause error) {
		_, _ = fmt.Fprintf(s.env.Stderr, "berylwharf: watch stream interrupted (%v); reconnecting\n", cause)
	}}
	if len(args) == 1 {
		if req.Kind, err = parseKind(args[0]); err != nil {
			return err
		}
	}
	p := &eventPrinter{session: s, from: req.From, lastReported: make(map[resource.Key]*resource.Resource)}
	err = s.client.Watch(ctx, req, p.print)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil // interrupted by the user or ended by --timeout
	}
	return err
}

// eventPrinter prints watch events. For a change of a resource that it has printed before, it lists the changed fields.
type eventPrinter struct {
	*session
	from         uint64
	lastReported map[resource.Key]*resource.Resource
	synced       bool
}

func (p *eventPrinter) print(e *operator.Event) error {
	if p.json() {
		data, err := json.Marshal(e)
		if err == nil {
			_, err = p.env.Stdout.Write(append(data, '\n'))
		}
		return err
	}
	text := ""
	switch e.Type {
	case operator.EventChanged:
		text = p.formatChanged(e.Resource)
	case operator.EventDeleted:
		delete(p.lastReported, *e.Key)
		text = e.Key.String() + " deleted"
	case operator.EventSynced:
		p.synced = true
		return nil
	}
	_, err := fmt.Fprintln(p.env.Stdout, text)
	return err
}

func (p *eventPrinter) formatChanged(r *resource.Resource) string {
	before := p.lastReported[r.Key]
	p.lastReported[r.Key] = r
	status := "created"
	switch {
	case !p.synced:
		status = "exists"
	case p.from > 0:
		status = "changed" // may have existed before the start offset of the watch
	}
	if before == nil {
		return fmt.Sprintf("%s %s, version %d, by %s", r.Key, status, r.Version, r.Author)
	}
	_, fields := operator.CompareSpecs(before.Spec, r.Spec, nil)
	var changes []string
	for _, f := range fields {
		changes = append(changes, fmt.Sprintf("%s %s -> %s", f.Field, formatValue(f.Base), formatValue(f.Current)))
	}
	return fmt.Sprintf("%s changed, version %d, by %s: %s", r.Key, r.Version, r.Author, strings.Join(changes, ", "))
}
