package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"
)

func (r *runner) nodes() *cli.Command {
	return &cli.Command{
		Name:   "nodes",
		Usage:  "show the state of the nodes as the answering node (*) sees it",
		Flags:  sharedFlags(),
		Action: r.action(runNodes),
	}
}

func runNodes(ctx context.Context, s *session) error {
	if _, err := arguments(s.Context, 0, 0); err != nil {
		return err
	}
	answer, err := s.client.Nodes(ctx)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(answer.Nodes)
	}
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tVM\tZONE\tREGION\tSTATE\tMEMBER\tEPOCH\tNEXT\tHEARD\tMESSAGE")
	for _, n := range answer.Nodes {
		name, heard := n.Node, (time.Duration(n.LastHeardMs) * time.Millisecond).String()
		if n.Self {
			name, heard = name+"*", "-"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%t\t%d\t%d\t%s\t%s\n",
			name, n.VM, n.Zone, n.Region, n.State, n.Member, n.Epoch, n.Next, heard, n.Message)
	}
	return w.Flush()
}
