package command

import (
	"bytes"
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
)

// The results of applying a resource.
const (
	resultCreated   = "created"
	resultChanged   = "changed"
	resultUnchanged = "unchanged"
	resultConflict  = "conflict"
	resultFailed    = "failed"
	resultSkipped   = "not attempted"
	resultDeleted   = "deleted"
)

// result is the line for one resource.
type result struct {
	Kind    resource.Kind   `json:"kind"`
	Name    string          `json:"name"`
	Result  string          `json:"result"`
	Version uint64          `json:"version,omitempty"`
	Error   *operator.Error `json:"error,omitempty"`
}

func (r *runner) apply() *cli.Command {
	return &cli.Command{
		Name:   "apply",
		Usage:  "create or change the resources of files",
		Flags:  changeFlags(fileFlag()),
		Action: r.action(runApply),
	}
}

// runApply goes on after a conflict, since other resources do not depend on who set the values. Any other failure ends
// it, because later resources may name the one that failed. The first failure gives the exit code.
func runApply(ctx context.Context, s *session) error {
	docs, err := s.readDocuments()
	if err != nil {
		return err
	}
	author, err := s.author()
	if err != nil {
		return err
	}
	if s.IsSet("base") && len(docs) != 1 {
		return usagef("--base needs exactly one resource, the files contain %d", len(docs))
	}
	var first error
	results := make([]result, 0, len(docs))
	for _, doc := range docs {
		res := result{Kind: doc.Kind, Name: doc.Name, Result: resultSkipped}
		if first == nil || exitCode(first) == ExitConflict {
			var err error
			res, err = s.applyOne(ctx, doc, author)
			first = s.failure(first, err)
		}
		results = append(results, res)
		s.printResult(res)
	}
	if s.json() {
		return firstError(first, s.printJSON(results))
	}
	return first
}

// failure prints all failures but the first, which Run prints, and returns the one that gives the exit code.
func (s *session) failure(first, err error) error {
	switch {
	case err == nil:
		return first
	case first == nil:
		return err
	case exitCode(first) == ExitConflict && exitCode(err) != ExitConflict:
		printError(s.env.Stderr, first, s.json())
		return err
	}
	printError(s.env.Stderr, err, s.json())
	return first
}

// applyOne puts a resource when its spec differs from the current one. The base is, in this order, --base, the version
// in the file, and the version that was read.
func (s *session) applyOne(ctx context.Context, doc document, author string) (result, error) {
	res := result{Kind: doc.Kind, Name: doc.Name, Result: resultFailed}
	current, err := s.current(ctx, doc.Key)
	if err != nil {
		return res, beforeChange(err)
	}
	base := doc.Version
	if current != nil {
		if same(current, doc.Spec) && !s.IsSet("base") {
			res.Result, res.Version = resultUnchanged, current.Version
			return res, nil
		}
		if base == 0 {
			base = current.Version
		}
	}
	answer, err := s.put(ctx, doc.Key, s.base(base), author, doc.Spec)
	if err != nil {
		var api *operator.Error
		if errors.As(err, &api) {
			res.Error = api
		}
		if exitCode(err) == ExitConflict {
			res.Result = resultConflict
		}
		return res, err
	}
	res.Version, res.Result = answer.Offset, resultChanged
	if current == nil {
		res.Result = resultCreated
	}
	return res, nil
}

// current returns a resource, nil when it does not exist.
func (s *session) current(ctx context.Context, key resource.Key) (*resource.Resource, error) {
	r, err := s.client.Get(ctx, key)
	if err != nil && exitCode(err) == ExitNotFound {
		return nil, nil
	}
	return r, err
}

// same compares specs in canonical form. A spec of an older version may lack a default.
func same(r *resource.Resource, spec []byte) bool {
	canonical, err := resource.Canonical(r.Key, r.Spec)
	return err == nil && bytes.Equal(canonical, spec)
}

func (s *session) put(ctx context.Context, key resource.Key, base uint64, author string, spec []byte) (*operator.ChangeResponse, error) {
	req := &operator.PutRequest{Base: &base, Author: author, Spec: spec}
	answer, err := s.client.Put(ctx, key, req)
	if err != nil {
		return nil, &changeError{id: req.ID, cause: err}
	}
	return answer, nil
}

func (s *session) printResult(r result) {
	if s.json() {
		return
	}
	if r.Version == 0 {
		s.printf("%s/%s %s\n", r.Kind, r.Name, r.Result)
		return
	}
	s.printf("%s/%s %s, version %d\n", r.Kind, r.Name, r.Result, r.Version)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
