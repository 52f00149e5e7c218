package command

import (
	"bytes"
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
)

// Values of result.Result.
const (
	resultCreated      = "created"
	resultChanged      = "changed"
	resultUnchanged    = "unchanged"
	resultConflict     = "conflict"
	resultFailed       = "failed"
	resultNotAttempted = "not attempted"
	resultDeleted      = "deleted"
)

// result is what a command did to one resource, as printed with -o json.
type result struct {
	Kind    resource.Kind   `json:"kind"`
	Name    string          `json:"name"`
	Result  string          `json:"result"`
	Version uint64          `json:"version,omitempty"`
	Error   *operator.Error `json:"error,omitempty"`
}

func (b *builder) apply() *cli.Command {
	return &cli.Command{
		Name:   "apply",
		Usage:  "create or change the resources of files",
		Flags:  changeFlags(fileFlag()),
		Action: b.action(runApply),
	}
}

// runApply continues after a conflict: the resource normally exists, with another operator's values, so later resources
// can refer to it. Any other failure stops it, because the resource may be missing and later ones may refer to it. The
// failure that stopped it determines the exit code, otherwise the first conflict.
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
		return usageErrorf("--base needs exactly one resource, the files contain %d", len(docs))
	}
	var failure error
	results := make([]result, 0, len(docs))
	for _, doc := range docs {
		res := result{Kind: doc.Kind, Name: doc.Name, Result: resultNotAttempted}
		if failure == nil || exitCode(failure) == ExitConflict {
			var err error
			res, err = s.applyOne(ctx, doc, author)
			failure = s.recordFailure(failure, err)
		}
		results = append(results, res)
		s.printResult(res)
	}
	if s.json() {
		return firstError(failure, s.printJSON(results))
	}
	return failure
}

// recordFailure returns whichever of two errors determines the exit code: a failure other than a conflict takes precedence,
// then the earlier one. It prints the other one, since Run prints only the error that the command returns.
func (s *session) recordFailure(earlier, err error) error {
	switch {
	case err == nil:
		return earlier
	case earlier == nil:
		return err
	case exitCode(earlier) == ExitConflict && exitCode(err) != ExitConflict:
		printError(s.env.Stderr, earlier, s.json())
		return err
	}
	printError(s.env.Stderr, err, s.json())
	return earlier
}

// applyOne puts a resource if its spec differs from the current one. The base version is --base if set, otherwise the
// version in the file, otherwise the version that was read.
func (s *session) applyOne(ctx context.Context, doc document, author string) (result, error) {
	res := result{Kind: doc.Kind, Name: doc.Name, Result: resultFailed}
	current, err := s.getIfExists(ctx, doc.Key)
	if err != nil {
		return res, notSentError(err)
	}
	base := doc.Version
	if current != nil {
		if sameSpec(current, doc.Spec) && !s.IsSet("base") {
			res.Result, res.Version = resultUnchanged, current.Version
			return res, nil
		}
		if base == 0 {
			base = current.Version
		}
	}
	response, err := s.put(ctx, doc.Key, s.baseVersion(base), author, doc.Spec)
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
	res.Version, res.Result = response.Offset, resultChanged
	if current == nil {
		res.Result = resultCreated
	}
	return res, nil
}

// getIfExists returns a resource, or nil if it does not exist.
func (s *session) getIfExists(ctx context.Context, key resource.Key) (*resource.Resource, error) {
	r, err := s.client.Get(ctx, key)
	if err != nil && exitCode(err) == ExitNotFound {
		return nil, nil
	}
	return r, err
}

// sameSpec reports whether a resource has the given spec, which is in canonical form. It converts the resource's spec to
// canonical form, because a spec stored by an older version of the software may lack a default value.
func sameSpec(r *resource.Resource, spec []byte) bool {
	canonical, err := resource.Canonical(r.Key, r.Spec)
	return err == nil && bytes.Equal(canonical, spec)
}

func (s *session) put(ctx context.Context, key resource.Key, base uint64, author string, spec []byte) (*operator.ChangeResponse, error) {
	req := &operator.PutRequest{BaseVersion: &base, Author: author, Spec: spec}
	response, err := s.client.Put(ctx, key, req)
	if err != nil {
		return nil, &changeError{id: req.ID, cause: err}
	}
	return response, nil
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
