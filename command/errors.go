package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/operator"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitError          = 1
	ExitUsage          = 2 // wrong usage or invalid input
	ExitNotFound       = 3
	ExitConflict       = 4
	ExitNotAccepted    = 5
	ExitOutcomeUnknown = 6
	ExitDifference     = 7
)

// codedError is an error with an exit code.
type codedError struct {
	code int
	text string
}

func (e *codedError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return &codedError{ExitUsage, fmt.Sprintf(format, args...)}
}

func onUsageError(_ *cli.Context, err error, _ bool) error { return usageErrorf("%v", err) }

// errDifference is returned by diff if there is a difference. It has no text, because the difference was already printed.
var errDifference = &codedError{code: ExitDifference}

// changeError is the failure of a command that changes resources. Unlike a failed read, the change may have taken effect.
type changeError struct {
	id    string // record identifier; empty if the read before the change failed
	cause error
}

// notSentError returns the failure of a change that was not sent because the read before it failed.
func notSentError(err error) error {
	var transport *operator.TransportError
	if errors.As(err, &transport) {
		err = &operator.TransportError{Cause: transport.Cause}
	}
	return &changeError{cause: err}
}

func (e *changeError) Error() string { return e.cause.Error() }
func (e *changeError) Unwrap() error { return e.cause }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var coded *codedError
	var change *changeError
	var api *operator.Error
	var transport *operator.TransportError
	isChange := errors.As(err, &change)
	switch {
	case err == nil:
		return ExitOK
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

// printError prints an error as text, or as one JSON document.
func printError(w io.Writer, err error, asJSON bool) {
	if errors.Is(err, errDifference) {
		return
	}
	var api *operator.Error
	isAPI := errors.As(err, &api)
	if asJSON {
		var doc any = map[string]any{"error": errorName(exitCode(err)), "message": err.Error()}
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

func errorName(code int) string {
	names := map[int]string{ExitUsage: "usage", ExitNotAccepted: "not_accepted", ExitOutcomeUnknown: "outcome_unknown"}
	if name, ok := names[code]; ok {
		return name
	}
	return "error"
}

// errorText returns the message of an error. It adds the kind of failure if the change conflicts, was not accepted or has
// an unknown outcome, and for the latter the command that queries the outcome.
func errorText(err error) string {
	var change *changeError
	switch code := exitCode(err); {
	case code == ExitOutcomeUnknown && errors.As(err, &change):
		return fmt.Sprintf("outcome unknown: %v\nto query the outcome later, run: berylwharf change %s", err, change.id)
	case code == ExitNotAccepted:
		return "not accepted: " + err.Error()
	case code == ExitConflict:
		return "conflict: " + err.Error()
	}
	return err.Error()
}

// printConflict prints the fields that differ in a conflict, with the base value if known, the current value and the value
// in the request.
func printConflict(w io.Writer, e *operator.Error) {
	for _, f := range e.Fields {
		base := ""
		if e.ComparedWith == operator.ComparedWithBase {
			base = fmt.Sprintf("was %s, ", formatValue(f.Base))
		}
		_, _ = fmt.Fprintf(w, "  %s: %snow %s (%s), yours %s\n", f.Field, base, formatValue(f.Current), e.Author, formatValue(f.Sent))
	}
}

// formatValue returns the JSON value of a field, or "not set".
func formatValue(v json.RawMessage) string {
	if v == nil {
		return "not set"
	}
	return string(v)
}
