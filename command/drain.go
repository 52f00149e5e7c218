package command

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/resource"
)

func (r *runner) drain() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop new work on a VM, or allow it again with --undo",
		ArgsUsage: "vm NAME",
		Flags:     changeFlags(&cli.BoolFlag{Name: "undo", Usage: "allow new work again"}),
		BashComplete: func(c *cli.Context) {
			if c.NArg() == 0 {
				_, _ = c.App.Writer.Write([]byte("vm\n"))
			}
		},
		Action: r.action(runDrain),
	}
}

func runDrain(ctx context.Context, s *session) error {
	key, err := keyArgument(s.Context)
	if err != nil {
		return err
	}
	if key.Kind != resource.KindVM {
		return usagef("only a vm can be drained, not a %s", key.Kind)
	}
	drain := !s.Bool("undo")
	return changeSpec(ctx, s, key, func(spec resource.Spec) bool {
		vm := spec.(*resource.VM)
		changed := vm.Drain != drain
		vm.Drain = drain
		return changed
	})
}

// changeSpec reads a resource, changes its spec with edit, and puts it on the version that was read. edit reports whether
// it changed anything.
func changeSpec(ctx context.Context, s *session, key resource.Key, edit func(resource.Spec) bool) error {
	author, err := s.author()
	if err != nil {
		return err
	}
	current, err := s.client.Get(ctx, key)
	if err != nil {
		return beforeChange(err)
	}
	spec, err := resource.Decode(key, current.Spec)
	if err != nil {
		return err
	}
	res := result{Kind: key.Kind, Name: key.Name, Result: resultUnchanged, Version: current.Version}
	if edit(spec) || s.IsSet("base") {
		data, err := json.Marshal(spec)
		if err != nil {
			return errors.Wrap(err, "encode spec")
		}
		answer, err := s.put(ctx, key, s.base(current.Version), author, data)
		if err != nil {
			return err
		}
		res.Result, res.Version = resultChanged, answer.Offset
	}
	if s.json() {
		return s.printJSON(res)
	}
	s.printResult(res)
	return nil
}
