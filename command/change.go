package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/statelog"
)

func (b *builder) change() *cli.Command {
	return &cli.Command{
		Name:      "change",
		Usage:     "show the outcome of a change whose response was lost",
		ArgsUsage: "ID",
		Flags:     sharedFlags(),
		Action:    b.action(runChange),
	}
}

// changeExitCodes maps the status of a change to the exit code of the command.
var changeExitCodes = map[string]int{
	statelog.StatusAccepted.String():  ExitOK,
	statelog.StatusConflict.String():  ExitConflict,
	statelog.StatusStale.String():     ExitNotAccepted,
	statelog.StatusMalformed.String(): ExitUsage,
}

func runChange(ctx context.Context, s *session) error {
	args, err := checkArgCount(s.Context, 1, 1)
	if err != nil {
		return err
	}
	if _, err := statelog.ParseRecordID(args[0]); err != nil {
		return usageErrorf("%v", err)
	}
	status, err := s.client.Change(ctx, args[0])
	if err != nil {
		return err
	}
	if s.json() {
		if err := s.printJSON(status); err != nil {
			return err
		}
	} else {
		s.printf("%s %s at offset %d\n", status.ID, status.Status, status.Offset)
	}
	code, ok := changeExitCodes[status.Status]
	if !ok {
		code = ExitError
	}
	if code == ExitOK {
		return nil
	}
	text := "the change is " + status.Status
	if status.Status == statelog.StatusConflict.String() {
		text = fmt.Sprintf("the resource was at version %d", status.CurrentVersion)
	}
	if status.Message != "" {
		text = status.Message
	}
	return &codedError{code, text}
}
