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

func decodeEmpty(context.Context, *http.Request) (any, error) { return nil, nil }

// decodeKind returns the resource.Kind in the path.
func decodeKind(_ context.Context, r *http.Request) (any, error) {
	kind := resource.Kind(r.PathValue("kind"))
	if err := kind.Validate(); err != nil {
		return nil, malformedRequest("kind", "%v", err)
	}
	return kind, nil
}

// decodeKey returns the resource.Key in the path.
func decodeKey(_ context.Context, r *http.Request) (any, error) { return pathKey(r) }

func pathKey(r *http.Request) (resource.Key, error) {
	key := resource.Key{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if err := key.Kind.Validate(); err != nil {
		return key, malformedRequest("kind", "%v", err)
	}
	if err := key.Validate(); err != nil {
		return key, malformedRequest("name", "%v", err)
	}
	return key, nil
}

// decodeID returns the statelog.RecordID in the path.
func decodeID(_ context.Context, r *http.Request) (any, error) {
	id, err := statelog.ParseRecordID(r.PathValue("id"))
	if err != nil {
		return nil, malformedRequest("id", "%v", err)
	}
	return id, nil
}

// decodePut returns the *change that a PUT request asks for.
func decodePut(_ context.Context, r *http.Request) (any, error) {
	key, err := pathKey(r)
	if err != nil {
		return nil, err
	}
	var body PutRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if body.BaseVersion == nil {
		return nil, malformedRequest("base", "missing (permitted: the version that was read, 0 when the resource does not exist)")
	}
	c, err := newChange(statelog.OpPut, key, *body.BaseVersion, body.ID, body.Author)
	if err != nil {
		return nil, err
	}
	return c, c.setSpec(body.Spec)
}

// decodeDelete returns the *change that a DELETE request asks for.
func decodeDelete(_ context.Context, r *http.Request) (any, error) {
	key, err := pathKey(r)
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	for name := range query {
		if name != "base" && name != "id" && name != "author" {
			return nil, malformedRequest(quoteShort(name), "unknown parameter (permitted: base, id, author)")
		}
	}
	base, err := strconv.ParseUint(query.Get("base"), 10, 64)
	if err != nil || base == 0 {
		return nil, malformedRequest("base", "%s is not a version (permitted: the version that was read, above 0)", quoteShort(query.Get("base")))
	}
	c, err := newChange(statelog.OpDelete, key, base, query.Get("id"), query.Get("author"))
	if err != nil {
		return nil, err
	}
	return c, nil
}

func newChange(op statelog.Op, key resource.Key, base uint64, id, author string) (*change, error) {
	c := &change{Change: follower.Change{ID: newRecordID(), Op: op, Key: key, BaseVersion: base, Author: author}}
	if err := checkAuthor(author); err != nil {
		return nil, err
	}
	if id == "" {
		return c, nil
	}
	clientID, err := statelog.ParseRecordID(id)
	if err != nil || clientID == (statelog.RecordID{}) {
		return nil, malformedRequest("id", "%s is not a record identifier (permitted: 32 hexadecimal digits, not all 0)", quoteShort(id))
	}
	c.ID, c.clientChoseID = clientID, true
	return c, nil
}

func checkAuthor(author string) error {
	printable := strings.IndexFunc(author, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	if author == "" || len(author) > MaxAuthorBytes || !utf8.ValidString(author) || !printable {
		return malformedRequest("author", "%s is not an author (permitted: 1 to %d bytes of printable characters)", quoteShort(author), MaxAuthorBytes)
	}
	return nil
}

// setSpec validates the spec and stores it in decoded and in canonical form.
func (c *change) setSpec(data json.RawMessage) error {
	spec, err := resource.Decode(c.Key, data)
	if err != nil {
		return invalidSpecError(c, err)
	}
	canonical, err := resource.Canonical(c.Key, data)
	if err != nil {
		return invalidSpecError(c, err)
	}
	c.spec, c.Spec = spec, canonical
	return nil
}

func invalidSpecError(c *change, cause error) error {
	err := errorf(http.StatusUnprocessableEntity, CodeInvalid, specField(cause), "%v", cause)
	var fe *resource.FieldError
	if errors.As(cause, &fe) {
		err.Message = fe.Problem // without the field, which Error.Field contains
	}
	err.ID = c.ID.String()
	return err
}

// specField returns the path of the field that an error of resource.Decode or resource.Canonical refers to, or "spec".
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

// unknownField returns the field name in the error of encoding/json about an unknown field. That error has no type of its
// own, so the name is parsed from its text.
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

// decodeBody decodes a JSON body of at most MaxBodyBytes. Unknown fields and data after the value are errors.
func decodeBody(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return malformedRequest("", "the body cannot be read: %v", err)
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
		return malformedRequest("", "the body has data after the JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return malformedRequest(te.Field, "the value has the type %s, not %s", te.Value, jsonType(te.Type.String()))
	}
	if name := unknownField(err); name != "" {
		return malformedRequest(quoteShort(name), "unknown field (permitted: base, id, author, spec)")
	}
	return malformedRequest("", "the body is not valid JSON: %v", err)
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

// quoteShort quotes text from a request for a one-line message. It truncates long text.
func quoteShort(s string) string {
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
	enc.SetEscapeHTML(false) // keeps "<", ">" and "&" in messages readable
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

// writeError writes an *Error as response. Any other error results from the end of the request's context and is sent as
// CodeNotAccepted.
func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = errorf(http.StatusServiceUnavailable, CodeNotAccepted, "", "%v", err)
	}
	writeJSON(w, e.StatusCode, e)
}

type nextOffsetKey struct{}

// contextWithNextOffset stores the client's read position, from the request header, for waitForClientOffset.
func contextWithNextOffset(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, nextOffsetKey{}, r.Header.Get(HeaderNextOffset))
}

func nextOffsetFromContext(ctx context.Context) (uint64, error) {
	header, _ := ctx.Value(nextOffsetKey{}).(string)
	if header == "" {
		return 0, nil
	}
	next, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return 0, malformedRequest(HeaderNextOffset, "%s is not an offset", quoteShort(header))
	}
	return next, nil
}

func setNextOffset(w http.ResponseWriter, next uint64) {
	w.Header().Set(HeaderNextOffset, strconv.FormatUint(next, 10))
}
