package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

func decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil }

// decodeKind returns the resource.Kind of the path.
func decodeKind(_ context.Context, r *http.Request) (any, error) {
	kind := resource.Kind(r.PathValue("kind"))
	if err := kind.Validate(); err != nil {
		return nil, malformed("kind", "%v", err)
	}
	return kind, nil
}

// decodeKey returns the resource.Key of the path.
func decodeKey(_ context.Context, r *http.Request) (any, error) { return keyOf(r) }

func keyOf(r *http.Request) (resource.Key, error) {
	key := resource.Key{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if err := key.Kind.Validate(); err != nil {
		return key, malformed("kind", "%v", err)
	}
	if err := key.Validate(); err != nil {
		return key, malformed("name", "%v", err)
	}
	return key, nil
}

// decodeID returns the statelog.RecordID of the path.
func decodeID(_ context.Context, r *http.Request) (any, error) {
	id, err := statelog.ParseRecordID(r.PathValue("id"))
	if err != nil {
		return nil, malformed("id", "%v", err)
	}
	return id, nil
}

// decodePut returns a *change.
func decodePut(_ context.Context, r *http.Request) (any, error) {
	key, err := keyOf(r)
	if err != nil {
		return nil, err
	}
	var body PutRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if body.Base == nil {
		return nil, malformed("base", "missing (permitted: the version that was read, 0 when the resource does not exist)")
	}
	c, err := newChange(statelog.OpPut, key, *body.Base, body.ID, body.Author)
	if err != nil {
		return nil, err
	}
	return c, c.setSpec(body.Spec)
}

// decodeDelete returns a *change.
func decodeDelete(_ context.Context, r *http.Request) (any, error) {
	key, err := keyOf(r)
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	for name := range query {
		if name != "base" && name != "id" && name != "author" {
			return nil, malformed(shown(name), "unknown parameter (permitted: base, id, author)")
		}
	}
	base, err := strconv.ParseUint(query.Get("base"), 10, 64)
	if err != nil || base == 0 {
		return nil, malformed("base", "%s is not a version (permitted: the version that was read, above 0)", shown(query.Get("base")))
	}
	c, err := newChange(statelog.OpDelete, key, base, query.Get("id"), query.Get("author"))
	if err != nil {
		return nil, err
	}
	return c, nil
}

func newChange(op statelog.Op, key resource.Key, base uint64, id, author string) (*change, error) {
	c := &change{Change: follower.Change{ID: newRecordID(), Op: op, Key: key, Base: base, Author: author}}
	if err := checkAuthor(author); err != nil {
		return nil, err
	}
	if id == "" {
		return c, nil
	}
	given, err := statelog.ParseRecordID(id)
	if err != nil || given == (statelog.RecordID{}) {
		return nil, malformed("id", "%s is not a record identifier (permitted: 32 hexadecimal digits, not all 0)", shown(id))
	}
	c.ID, c.givenID = given, true
	return c, nil
}

func checkAuthor(author string) error {
	printableRunes := strings.IndexFunc(author, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	if author == "" || len(author) > MaxAuthorBytes || !utf8.ValidString(author) || !printableRunes {
		return malformed("author", "%s is not an author (permitted: 1 to %d bytes of printable characters)", shown(author), MaxAuthorBytes)
	}
	return nil
}

// setSpec checks the spec and stores its canonical form.
func (c *change) setSpec(data json.RawMessage) error {
	spec, err := resource.Decode(c.Key, data)
	if err != nil {
		return invalidSpec(c, err)
	}
	canonical, err := resource.Canonical(c.Key, data)
	if err != nil {
		return invalidSpec(c, err)
	}
	c.spec, c.Spec = spec, canonical
	return nil
}

func invalidSpec(c *change, cause error) error {
	err := errorf(http.StatusUnprocessableEntity, CodeInvalid, specField(cause), "%v", cause)
	var fe *resource.FieldError
	if errors.As(cause, &fe) {
		err.Message = fe.Problem // Field names the field
	}
	err.ID = c.ID.String()
	return err
}

// specField returns the field of the spec that an error of resource.Decode names.
func specField(err error) string {
	var fe *resource.FieldError
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &fe):
		return "spec." + fe.Field
	case errors.As(err, &te) && te.Field != "":
		return "spec." + te.Field
	}
	if name := unknownField(errors.Cause(err)); name != "" {
		return "spec." + name
	}
	return "spec"
}

// unknownField returns the name in encoding/json's error about an unknown field, which has no type of its own.
func unknownField(err error) string {
	quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !ok {
		return ""
	}
	name, uerr := strconv.Unquote(quoted)
	if uerr != nil {
		return ""
	}
	return name
}

// decodeBody reads a JSON body of bounded size. Unknown fields and data after the value are errors.
func decodeBody(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return malformed("", "the body cannot be read: %v", err)
	}
	if len(data) > MaxBodyBytes {
		return errorf(http.StatusRequestEntityTooLarge, CodeTooLarge, "", "the body is larger than %d bytes", MaxBodyBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return bodyError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return malformed("", "the body has data after the JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return malformed(te.Field, "the value has the type %s, not %s", te.Value, jsonType(te.Type.String()))
	}
	if name := unknownField(err); name != "" {
		return malformed(shown(name), "unknown field (permitted: base, id, author, spec)")
	}
	return malformed("", "the body is not valid JSON: %v", err)
}

func jsonType(goType string) string {
	switch {
	case strings.Contains(goType, "int"):
		return "whole number of at least 0"
	case goType == "string":
		return "string"
	}
	return "JSON object"
}

// shown returns text from a request in a form that fits on one line of a message.
func shown(s string) string {
	const limit = 64
	if len(s) > limit {
		s = s[:limit] + "..."
	}
	return strconv.Quote(s)
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	writeJSON(w, http.StatusOK, response)
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false) // messages contain "<", ">" and "&" as they are
	if err := enc.Encode(v); err != nil {
		status = http.StatusInternalServerError
		buf.Reset()
		_, _ = fmt.Fprintf(&buf, "{\"error\":%q,\"message\":%q}\n", CodeInternal, "the answer cannot be encoded")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
	w.WriteHeader(status)
	_, _ = w.Write(buf.Bytes())
}

// writeError answers with an *Error. Any other error is the end of the request's context.
func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = errorf(http.StatusServiceUnavailable, CodeNotAccepted, "", "%v", err)
	}
	writeJSON(w, e.StatusCode, e)
}

type contextKey struct{}

// contextWithNext keeps the read position of the client for the middleware.
func contextWithNext(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, contextKey{}, r.Header.Get(HeaderNext))
}

func nextFromContext(ctx context.Context) (uint64, error) {
	header, _ := ctx.Value(contextKey{}).(string)
	if header == "" {
		return 0, nil
	}
	next, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return 0, malformed(HeaderNext, "%s is not an offset", shown(header))
	}
	return next, nil
}

func setNext(w http.ResponseWriter, next uint64) {
	w.Header().Set(HeaderNext, strconv.FormatUint(next, 10))
}
