package command

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/resource"
)

func (b *builder) drain() *cli.Command {
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
		Action: b.action(runDrain),
	}
}

func runDrain(ctx context.Context, s *session) error {
	key, err := parseKeyArgs(s.Context)
	if err != nil {
		return err
	}
	if key.Kind != resource.KindVM {
		return usageErrorf("only a vm can be drained, not a %s", key.Kind)
	}
	drain := !s.Bool("undo")
	return editSpec(ctx, s, key, func(spec resource.Spec) bool {
		vm := spec.(*resource.VM)
		changed := vm.Drain != drain
		vm.Drain = drain
		return changed
	})
}

// editSpec reads a resource, changes its spec with edit, and puts it if edit returns true, which reports a change, or if
// --base is set. The base version is --base if set, otherwise the version that was read.
func editSpec(ctx context.Context, s *session, key resource.Key, edit func(resource.Spec) bool) error {
	author, err := s.author()
	if err != nil {
		return err
	}
	current, err := s.client.Get(ctx, key)
	if err != nil {
		return notSentError(err)
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
		response, err := s.put(ctx, key, s.baseVersion(current.Version), author, data)
		if err != nil {
			return err
		}
		res.Result, res.Version = resultChanged, response.Offset
	}
	if s.json() {
		return s.printJSON(res)
	}
	s.printResult(res)
	return nil
}
