package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"
)

func (b *builder) nodes() *cli.Command {
	return &cli.Command{
		Name:   "nodes",
		Usage:  "show the state of the nodes as seen by the responding node (*)",
		Flags:  sharedFlags(),
		Action: b.action(runNodes),
	}
}

func runNodes(ctx context.Context, s *session) error {
	if _, err := checkArgCount(s.Context, 0, 0); err != nil {
		return err
	}
	response, err := s.client.Nodes(ctx)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(response.Nodes)
	}
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tVM\tZONE\tREGION\tSTATE\tMEMBER\tEPOCH\tNEXT\tHEARD\tMESSAGE")
	for _, n := range response.Nodes {
		name, heard := n.Node, (time.Duration(n.LastHeardMs) * time.Millisecond).String()
		if n.Self {
			name, heard = name+"*", "-"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%t\t%d\t%d\t%s\t%s\n",
			name, n.VM, n.Zone, n.Region, n.State, n.Member, n.Epoch, n.NextOffset, heard, n.Message)
	}
	return w.Flush()
}
