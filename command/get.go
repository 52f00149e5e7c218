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

func (b *builder) get() *cli.Command {
	return &cli.Command{
		Name:         "get",
		Usage:        "list the resources of a kind, or show one",
		ArgsUsage:    "KIND [NAME]",
		Flags:        sharedFlags(),
		BashComplete: completeKinds,
		Action:       b.action(runGet),
	}
}

func runGet(ctx context.Context, s *session) error {
	args, err := checkArgCount(s.Context, 1, 2)
	if err != nil {
		return err
	}
	if len(args) == 2 {
		return s.printOne(ctx)
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

// getNamed reads the resource given by the arguments KIND NAME.
func (s *session) getNamed(ctx context.Context) (*resource.Resource, error) {
	key, err := parseKeyArgs(s.Context)
	if err != nil {
		return nil, err
	}
	return s.client.Get(ctx, key)
}

func (s *session) printOne(ctx context.Context) error {
	r, err := s.getNamed(ctx)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(r)
	}
	return s.printTable([]*resource.Resource{r})
}

func (b *builder) describe() *cli.Command {
	return &cli.Command{
		Name:         "describe",
		Usage:        "show one resource, a line for each field",
		ArgsUsage:    "KIND NAME",
		Flags:        sharedFlags(),
		BashComplete: completeKinds,
		Action:       b.action(runDescribe),
	}
}

func runDescribe(ctx context.Context, s *session) error {
	r, err := s.getNamed(ctx)
	if err != nil {
		return err
	}
	if s.json() {
		return s.printJSON(r)
	}
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "kind:\t%s\nname:\t%s\nversion:\t%d\nauthor:\t%s\n", r.Kind, r.Name, r.Version, r.Author)
	for _, f := range specFields(r.Spec) {
		_, _ = fmt.Fprintf(w, "%s:\t%s\n", f.name, f.value)
	}
	return w.Flush()
}

// field is a field of a spec. Its value is JSON, except that a string is unquoted if it is not empty and has neither white
// space nor quotation marks.
type field struct{ name, value string }

// specFields returns the top-level fields of a spec, sorted by name.
func specFields(spec json.RawMessage) []field {
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
		for _, f := range specFields(r.Spec) {
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
