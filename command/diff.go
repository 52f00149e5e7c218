package command

import (
	"context"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
)

// difference is a resource in a file that differs from the current one.
type difference struct {
	Kind    resource.Kind          `json:"kind"`
	Name    string                 `json:"name"`
	Version uint64                 `json:"version"` // current version, 0 if the resource does not exist
	Fields  []operator.FieldChange `json:"fields"`  // with the current value in Current and the value in the file in Sent
}

func (b *builder) diff() *cli.Command {
	return &cli.Command{
		Name:   "diff",
		Usage:  "show what apply would change; exit code 7 when there is a difference",
		Flags:  sharedFlags(fileFlag()),
		Action: b.action(runDiff),
	}
}

func runDiff(ctx context.Context, s *session) error {
	docs, err := s.readDocuments()
	if err != nil {
		return err
	}
	differences := []difference{}
	for _, doc := range docs {
		current, err := s.getIfExists(ctx, doc.Key)
		if err != nil {
			return err
		}
		if current != nil && sameSpec(current, doc.Spec) {
			continue
		}
		if current == nil {
			current = &resource.Resource{Key: doc.Key, Spec: []byte("{}")}
		}
		_, fields := operator.CompareSpecs(nil, current.Spec, doc.Spec)
		differences = append(differences, difference{Kind: doc.Kind, Name: doc.Name, Version: current.Version, Fields: fields})
	}
	if err := s.printDifferences(differences); err != nil {
		return err
	}
	if len(differences) > 0 {
		return errDifference
	}
	return nil
}

func (s *session) printDifferences(list []difference) error {
	if s.json() {
		return s.printJSON(list)
	}
	for _, d := range list {
		if d.Version == 0 {
			s.printf("%s/%s does not exist\n", d.Kind, d.Name)
		} else {
			s.printf("%s/%s differs from version %d\n", d.Kind, d.Name, d.Version)
		}
		for _, f := range d.Fields {
			if f.Current != nil {
				s.printf("  - %s: %s\n", f.Field, f.Current)
			}
			if f.Sent != nil {
				s.printf("  + %s: %s\n", f.Field, f.Sent)
			}
		}
	}
	return nil
}
