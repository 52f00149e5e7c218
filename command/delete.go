package command

import (
	"context"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
)

func (b *builder) delete() *cli.Command {
	return &cli.Command{
		Name:         "delete",
		Usage:        "delete a resource",
		ArgsUsage:    "KIND NAME",
		Flags:        changeFlags(),
		BashComplete: completeKinds,
		Action:       b.action(runDelete),
	}
}

func runDelete(ctx context.Context, s *session) error {
	key, err := parseKeyArgs(s.Context)
	if err != nil {
		return err
	}
	author, err := s.author()
	if err != nil {
		return err
	}
	current, err := s.client.Get(ctx, key)
	if err != nil {
		return notSentError(err)
	}
	req := &operator.DeleteRequest{BaseVersion: s.baseVersion(current.Version), Author: author}
	if _, err := s.client.Delete(ctx, key, req); err != nil {
		return &changeError{id: req.ID, cause: err}
	}
	res := result{Kind: key.Kind, Name: key.Name, Result: resultDeleted}
	if s.json() {
		return s.printJSON(res)
	}
	s.printResult(res)
	return nil
}
