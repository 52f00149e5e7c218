package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
)

// The exit codes.
const (
	ExitDone           = 0
	ExitError          = 1
	ExitUsage          = 2 // wrong usage or invalid input
	ExitNotFound       = 3
	ExitConflict       = 4
	ExitNotAccepted    = 5
	ExitOutcomeUnknown = 6
	ExitDifference     = 7
)

// codedError is an error with its exit code.
type codedError struct {
	code int
	text string
}

func (e *codedError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &codedError{ExitUsage, fmt.Sprintf(format, args...)}
}

func usageFault(_ *cli.Context, err error, _ bool) error { return usagef("%v", err) }

// errDifference ends a diff that found a difference. It has no text, since the difference was printed.
var errDifference = &codedError{code: ExitDifference}

// changeError is the failure of a change. Unlike a read, it may have taken effect.
type changeError struct {
	id    string
	cause error
}

// beforeChange returns the failure of a read that precedes a change. It proves that the change was not sent.
func beforeChange(err error) error {
	var transport *operator.TransportError
	if errors.As(err, &transport) {
		err = &operator.TransportError{Cause: transport.Cause}
	}
	return &changeError{cause: err}
}

func (e *changeError) Error() string { return e.cause.Error() }
func (e *changeError) Unwrap() error { return e.cause }

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var coded *codedError
	var change *changeError
	var api *operator.Error
	var transport *operator.TransportError
	isChange := errors.As(err, &change)
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &api):
		return apiExitCode(api.Code, isChange)
	case errors.As(err, &transport) && isChange && transport.MayHaveTakenEffect:
		return ExitOutcomeUnknown
	case isChange && transport != nil:
		return ExitNotAccepted
	}
	return ExitError
}

func apiExitCode(code operator.Code, isChange bool) int {
	switch code {
	case operator.CodeNotFound, operator.CodeUnknownChange:
		return ExitNotFound
	case operator.CodeConflict:
		return ExitConflict
	case operator.CodeMalformed, operator.CodeTooLarge, operator.CodeInvalid, operator.CodeMissingReference,
		operator.CodeInUse, operator.CodeIdentifierReused:
		return ExitUsage
	case operator.CodeNotAccepted, operator.CodeBehind:
		if isChange {
			return ExitNotAccepted
		}
	case operator.CodeOutcomeUnknown, operator.CodeInternal:
		if isChange {
			return ExitOutcomeUnknown
		}
	}
	return ExitError
}

// printError prints an error for people, or as one JSON document.
func printError(w io.Writer, err error, asJSON bool) {
	if errors.Is(err, errDifference) {
		return
	}
	var api *operator.Error
	isAPI := errors.As(err, &api)
	if asJSON {
		var doc any = map[string]any{"error": exitName(exitCode(err)), "message": err.Error()}
		if isAPI {
			doc = api
		}
		data, _ := json.Marshal(doc)
		_, _ = fmt.Fprintf(w, "%s\n", data)
		return
	}
	_, _ = fmt.Fprintf(w, "berylwharf: %s\n", errorText(err))
	if isAPI {
		printConflict(w, api)
	}
}

func exitName(code int) string {
	names := map[int]string{ExitUsage: "usage", ExitNotAccepted: "not_accepted", ExitOutcomeUnknown: "outcome_unknown"}
	if name, ok := names[code]; ok {
		return name
	}
	return "error"
}

// errorText says what to do next where that is not clear from the error.
func errorText(err error) string {
	var change *changeError
	switch code := exitCode(err); {
	case code == ExitOutcomeUnknown && errors.As(err, &change):
		return fmt.Sprintf("outcome unknown: %v\nask later with: berylwharf change %s", err, change.id)
	case code == ExitNotAccepted:
		return "not accepted: " + err.Error()
	case code == ExitConflict:
		return "conflict: " + err.Error()
	}
	return err.Error()
}

// printConflict prints the fields that met in a conflict, with the values of both sides.
func printConflict(w io.Writer, e *operator.Error) {
	for _, f := range e.Fields {
		base := ""
		if e.ComparedWith == operator.ComparedWithBase {
			base = fmt.Sprintf("was %s, ", valueText(f.Base))
		}
		_, _ = fmt.Fprintf(w, "  %s: %snow %s (%s), yours %s\n", f.Field, base, valueText(f.Current), e.Author, valueText(f.Sent))
	}
}

// valueText returns the JSON value of a field, or that the field is not set.
func valueText(v json.RawMessage) string {
	if v == nil {
		return "not set"
	}
	return string(v)
}
