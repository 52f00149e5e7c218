package command

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/resource"
)

func (r *runner) get() *cli.Command {
	return &cli.Command{
		Name:         "get",
		Usage:        "list the resources of a kind, or show one",
		ArgsUsage:    "KIND [NAME]",
		Flags:        sharedFlags(),
		BashComplete: completeKinds,
		Action:       r.action(runGet),
	}
}

func runGet(ctx context.Context, s *session) error {
	args, err := arguments(s.Context, 1, 2)
	if err != nil {
		return err
	}
	if len(args) == 2 {
		return s.getOne(ctx)
	}
	kind, err := parseKind(args[0])
	if err != nil {
		return err
	}
	list, err := s.client.List(ctx, kind)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(list.Resources)
	}
	return s.printTable(list.Resources)
}

// named reads the resource that the arguments name.
func (s *session) named(ctx context.Context) (*resource.Resource, error) {
	key, err := keyArgument(s.Context)
	if err != nil {
		return nil, err
	}
	return s.client.Get(ctx, key)
}

func (s *session) getOne(ctx context.Context) error {
	r, err := s.named(ctx)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(r)
	}
	return s.printTable([]*resource.Resource{r})
}

func (r *runner) describe() *cli.Command {
	return &cli.Command{
		Name:         "describe",
		Usage:        "show one resource, a line for each field",
		ArgsUsage:    "KIND NAME",
		Flags:        sharedFlags(),
		BashComplete: completeKinds,
		Action:       r.action(runDescribe),
	}
}

func runDescribe(ctx context.Context, s *session) error {
	r, err := s.named(ctx)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(r)
	}
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "kind:\t%s\nname:\t%s\nversion:\t%d\nauthor:\t%s\n", r.Kind, r.Name, r.Version, r.Author)
	for _, f := range fieldsOf(r.Spec) {
		_, _ = fmt.Fprintf(w, "%s:\t%s\n", f.name, f.value)
	}
	return w.Flush()
}

// field is a field of a spec with its JSON value; strings stand without quotes.
type field struct{ name, value string }

// fieldsOf returns the fields of a spec, sorted by name.
func fieldsOf(spec json.RawMessage) []field {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(spec, &m); err != nil {
		return []field{{"spec", string(spec)}}
	}
	fields := make([]field, 0, len(m))
	for name, raw := range m {
		value := string(raw)
		var s string
		if json.Unmarshal(raw, &s) == nil && s != "" && !strings.ContainsAny(s, " \t\r\n\"") {
			value = s
		}
		fields = append(fields, field{name, value})
	}
	sort.Slice(fields, func(i, j int) bool { return fields[i].name < fields[j].name })
	return fields
}

func (s *session) printTable(list []*resource.Resource) error {
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tVERSION\tAUTHOR\tSPEC")
	for _, r := range list {
		var spec []string
		for _, f := range fieldsOf(r.Spec) {
			spec = append(spec, f.name+"="+f.value)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", r.Name, r.Version, r.Author, strings.Join(spec, " "))
	}
	return w.Flush()
}

// printJSON prints an indented JSON document.
func (s *session) printJSON(v any) error {
	enc := json.NewEncoder(s.env.Stdout)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
