package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
)

func (b *builder) move() *cli.Command {
	return &cli.Command{
		Name:      "move",
		Usage:     "move a VM to another pool, or withdraw the move with --undo",
		ArgsUsage: "vm NAME",
		Flags: changeFlags(
			&cli.StringFlag{Name: "to", Usage: "pool that receives the VM"},
			&cli.BoolFlag{Name: "undo", Usage: "withdraw a move that is not finished"},
		),
		Action: b.action(runMove),
	}
}

func runMove(ctx context.Context, s *session) error {
	key, err := parseKeyOfKind(s, resource.KindVM)
	if err != nil {
		return err
	}
	to := s.String("to")
	if (to == "") != s.Bool("undo") {
		return usageErrorf("exactly one of --to POOL and --undo is needed")
	}
	return editSpec(ctx, s, key, func(spec resource.Spec) bool {
		vm := spec.(*resource.VM)
		if to == vm.Pool {
			to = ""
		}
		changed := vm.NextPool != to
		vm.NextPool = to
		return changed
	})
}

func (b *builder) pause() *cli.Command {
	return &cli.Command{
		Name:      "pause",
		Usage:     "start maintenance on no more VMs of a wave; VMs in maintenance finish",
		ArgsUsage: "wave NAME",
		Flags:     changeFlags(),
		Action:    b.action(func(ctx context.Context, s *session) error { return setPaused(ctx, s, true) }),
	}
}

func (b *builder) resume() *cli.Command {
	return &cli.Command{
		Name:      "resume",
		Usage:     "continue a wave that was paused or that stopped after failures; those failures no longer stop it",
		ArgsUsage: "wave NAME",
		Flags:     changeFlags(),
		Action:    b.action(func(ctx context.Context, s *session) error { return setPaused(ctx, s, false) }),
	}
}

func setPaused(ctx context.Context, s *session, paused bool) error {
	key, err := parseKeyOfKind(s, resource.KindWave)
	if err != nil {
		return err
	}
	if !paused {
		if err := clearStopReason(ctx, s, key.Name); err != nil {
			return err
		}
	}
	return editSpec(ctx, s, key, func(spec resource.Spec) bool {
		w := spec.(*resource.Wave)
		changed := w.Paused != paused
		w.Paused = paused
		return changed
	})
}

// clearStopReason lets a wave continue that the planner has stopped. It replaces the wave's status by one that has no stop
// reason and, in ResumedAt, the version that was replaced.
func clearStopReason(ctx context.Context, s *session, wave string) error {
	key := resource.Key{Kind: resource.KindWaveStatus, Name: wave}
	current, err := s.client.Get(ctx, key)
	var e *operator.Error
	if errors.As(err, &e) && e.Code == operator.CodeNotFound {
		return nil
	}
	if err != nil {
		return notSentError(err)
	}
	spec, err := resource.Decode(key, current.Spec)
	if err != nil {
		return err
	}
	if spec.(*resource.WaveStatus).StopReason == "" {
		return nil
	}
	author, err := s.author()
	if err != nil {
		return err
	}
	data, err := json.Marshal(resource.WaveStatus{ResumedAt: current.Version})
	if err != nil {
		return errors.Wrap(err, "encode spec")
	}
	response, err := s.put(ctx, key, current.Version, author, data)
	if err == nil && !s.json() {
		s.printResult(result{Kind: key.Kind, Name: key.Name, Result: resultChanged, Version: response.Offset})
	}
	return err
}

// parseKeyOfKind parses the arguments KIND NAME and returns a usage error for any other kind than the given one.
func parseKeyOfKind(s *session, kind resource.Kind) (resource.Key, error) {
	key, err := parseKeyArgs(s.Context)
	if err != nil {
		return key, err
	}
	if key.Kind != kind {
		return key, usageErrorf("this command takes a %s, not a %s", kind, key.Kind)
	}
	return key, nil
}

func (b *builder) plan() *cli.Command {
	return &cli.Command{
		Name:   "plan",
		Usage:  "show the progress of waves, the steps that are due, and what is waiting and why",
		Flags:  sharedFlags(),
		Action: b.action(runPlan),
	}
}

func runPlan(ctx context.Context, s *session) error {
	if _, err := checkArgCount(s.Context, 0, 0); err != nil {
		return err
	}
	return printPlan(ctx, s, func(operator.PlanStep) bool { return true }, func(operator.WaveProgress) bool { return true })
}

func printPlan(ctx context.Context, s *session, step func(operator.PlanStep) bool, wave func(operator.WaveProgress) bool) error {
	plan, err := s.client.Plan(ctx)
	if err != nil {
		return err
	}
	plan = filterPlan(plan, step, wave)
	if s.json() {
		return s.printJSON(plan)
	}
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	for _, p := range plan.Waves {
		_, _ = fmt.Fprintf(w, "wave %s\t%s\t%d of %d, %d failed, %d in maintenance%s\n",
			p.Name, progressBar(p.Finished, p.Total), p.Finished, p.Total, p.Failed, p.InMaintenance, waveState(p))
	}
	for _, p := range plan.Steps {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", p.Kind, stepSubject(p), p.Reason)
	}
	for _, p := range plan.Waiting {
		_, _ = fmt.Fprintf(w, "waits\t%s\t%s\n", stepSubject(p), p.Reason)
	}
	if len(plan.Waves)+len(plan.Steps)+len(plan.Waiting) == 0 {
		_, _ = fmt.Fprintln(w, "no step is due and nothing is waiting")
	}
	return w.Flush()
}

func filterPlan(p *operator.PlanResponse, step func(operator.PlanStep) bool, wave func(operator.WaveProgress) bool) *operator.PlanResponse {
	filtered := &operator.PlanResponse{Waves: []operator.WaveProgress{}, Steps: []operator.PlanStep{}, Waiting: []operator.PlanStep{}}
	for _, w := range p.Waves {
		if wave(w) {
			filtered.Waves = append(filtered.Waves, w)
		}
	}
	for _, s := range p.Steps {
		if step(s) {
			filtered.Steps = append(filtered.Steps, s)
		}
	}
	for _, s := range p.Waiting {
		if step(s) {
			filtered.Waiting = append(filtered.Waiting, s)
		}
	}
	return filtered
}

const progressBarWidth = 20

// progressBar returns a bar of fixed width that shows the ratio of part to total.
func progressBar(part, total int) string {
	full := 0
	if total > 0 {
		full = progressBarWidth * min(part, total) / total
	}
	return "[" + strings.Repeat("#", full) + strings.Repeat(".", progressBarWidth-full) + "]"
}

func waveState(p operator.WaveProgress) string {
	switch {
	case p.StopReason != "":
		return ", stopped: " + p.StopReason
	case p.Paused:
		return ", paused"
	}
	return ""
}

func stepSubject(p operator.PlanStep) string {
	if p.VM == "" {
		return "wave " + p.Wave
	}
	return "vm " + p.VM
}
