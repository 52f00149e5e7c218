package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
)

const (
	// maxAnswerBytes bounds an answer other than a watch stream. A list of 10,000 VMs has about 2 MB.
	maxAnswerBytes = 64 << 20
	// maxFollowUps bounds how often the client asks for an unknown outcome. With firstFollowUp doubling each time,
	// the last question comes 6.2 s after the first answer, which outlasts the replacement of an entry VM's process.
	maxFollowUps  = 5
	firstFollowUp = 200 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	URL   string // of the operators' API, for example http://127.0.0.1:8081
	Token string // may be empty
	// HTTP sends the requests. Default: a client of its own without a total timeout; contexts bound the calls.
	HTTP *http.Client
	// Wait waits between questions about an unknown outcome, or until the context ends. Default: a timer.
	Wait func(context.Context, time.Duration) error
}

// Client calls the operators' API. Its errors are *Error for an error answer of the API and *TransportError when no
// complete answer came. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	base   *url.URL
	next   atomic.Uint64 // greatest read position seen
}

// TransportError is a request without a complete answer.
type TransportError struct {
	// MayHaveRun is false when nothing was sent.
	MayHaveRun bool
	Cause      error
}

// Error implements error.
func (e *TransportError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// NewClient returns a client. The error names what is wrong with the URL.
func NewClient(config ClientConfig) (*Client, error) {
	u, err := url.Parse(config.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
		return nil, fmt.Errorf("server %q is not a URL such as http://127.0.0.1:8081", config.URL)
	}
	if config.HTTP == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DialContext = (&net.Dialer{Timeout: 5 * time.Second}).DialContext
		config.HTTP = &http.Client{Transport: transport}
	}
	if config.Wait == nil {
		config.Wait = waitTimer
	}
	return &Client{config: config, base: u}, nil
}

func waitTimer(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// List returns the resources of a kind, sorted by name.
func (c *Client) List(ctx context.Context, kind resource.Kind) (*ListResponse, error) {
	return call[ListResponse](ctx, c, http.MethodGet, c.url(nil, "resources", string(kind)), nil)
}

// Get returns a resource. The error has CodeNotFound when it does not exist.
func (c *Client) Get(ctx context.Context, key resource.Key) (*resource.Resource, error) {
	return call[resource.Resource](ctx, c, http.MethodGet, c.resourceURL(key, nil), nil)
}

// Put changes a resource. When the outcome is unknown it asks for the identifier and repeats the request with the same
// identifier, until the outcome is known or the attempts are used up; the error then has CodeOutcomeUnknown or is a
// *TransportError, and req.ID, which Put fills in, tells what to ask for.
func (c *Client) Put(ctx context.Context, key resource.Key, req *PutRequest) (*ChangeResponse, error) {
	if req.ID == "" {
		req.ID = newRecordID().String()
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return c.settle(ctx, req.ID, func() (*ChangeResponse, error) {
		return call[ChangeResponse](ctx, c, http.MethodPut, c.resourceURL(key, nil), body)
	})
}

// Delete deletes a resource, with the same treatment of unknown outcomes as Put.
func (c *Client) Delete(ctx context.Context, key resource.Key, req *DeleteRequest) (*ChangeResponse, error) {
	if req.ID == "" {
		req.ID = newRecordID().String()
	}
	query := url.Values{"base": {strconv.FormatUint(req.Base, 10)}, "id": {req.ID}, "author": {req.Author}}
	return c.settle(ctx, req.ID, func() (*ChangeResponse, error) {
		return call[ChangeResponse](ctx, c, http.MethodDelete, c.resourceURL(key, query), nil)
	})
}

// Change returns the outcome of a change. The error has CodeUnknownChange when the node does not know it.
func (c *Client) Change(ctx context.Context, id string) (*ChangeStatus, error) {
	return call[ChangeStatus](ctx, c, http.MethodGet, c.url(nil, "changes", id), nil)
}

// Nodes returns the state of the nodes.
func (c *Client) Nodes(ctx context.Context) (*NodesResponse, error) {
	return call[NodesResponse](ctx, c, http.MethodGet, c.url(nil, "nodes"), nil)
}

// settle sends a change and follows up an unknown outcome. After that only an answer that follows from the log counts:
// another refusal says nothing about the earlier attempt.
func (c *Client) settle(ctx context.Context, id string, send func() (*ChangeResponse, error)) (*ChangeResponse, error) {
	res, first := send()
	if !outcomeUnknown(first) {
		return res, first
	}
	delay := firstFollowUp
	for range maxFollowUps {
		if c.config.Wait(ctx, delay) != nil {
			break
		}
		delay *= 2
		status, err := c.Change(ctx, id)
		if err == nil && status.Status == "accepted" {
			return &ChangeResponse{ID: id, Status: status.Status, Offset: status.Offset}, nil
		}
		known := err == nil
		if !known && !hasCode(err, CodeUnknownChange) {
			continue
		}
		// Sending the change again is harmless. When the outcome is known, the answer has its details.
		if res, err = send(); err == nil || known && isAnswer(err) || hasCode(err, CodeConflict) || hasCode(err, CodeReusedID) {
			return res, err
		}
	}
	return nil, first
}

// outcomeUnknown reports whether a change may have taken effect, or may still take effect, in spite of the error.
func outcomeUnknown(err error) bool {
	var te *TransportError
	if errors.As(err, &te) {
		return te.MayHaveRun
	}
	return hasCode(err, CodeOutcomeUnknown) || hasCode(err, CodeInternal)
}

// isAnswer reports whether the server answered the request.
func isAnswer(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

func hasCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

func (c *Client) url(query url.Values, path ...string) *url.URL {
	u := c.base.JoinPath("v1")
	for _, p := range path {
		u = u.JoinPath(url.PathEscape(p))
	}
	u.RawQuery = query.Encode()
	return u
}

func (c *Client) resourceURL(key resource.Key, query url.Values) *url.URL {
	return c.url(query, "resources", string(key.Kind), key.Name)
}

// call makes one request through go-kit's client transport.
func call[Response any](ctx context.Context, c *Client, method string, u *url.URL, body []byte) (*Response, error) {
	create := func(context.Context, any) (*http.Request, error) { return c.request(ctx, method, u, body) }
	decode := func(_ context.Context, r *http.Response) (any, error) { return decodeAnswer[Response](c, r) }
	answer, err := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(c.config.HTTP)).Endpoint()(ctx, nil)
	if err != nil {
		return nil, clientError(err)
	}
	return answer.(*Response), nil
}

func (c *Client) request(ctx context.Context, method string, u *url.URL, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.config.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if next := c.next.Load(); next > 0 {
		r.Header.Set(HeaderNext, strconv.FormatUint(next, 10))
	}
	return r, nil
}

// clientError keeps *Error and turns everything else into a *TransportError. A connection that could not be opened
// proves that nothing was sent.
func clientError(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	return &TransportError{MayHaveRun: !dialFailed, Cause: err}
}

func decodeAnswer[Response any](c *Client, r *http.Response) (*Response, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(data) > maxAnswerBytes {
		return nil, fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	if r.StatusCode != http.StatusOK {
		return nil, errorAnswer(r.StatusCode, data)
	}
	c.sawNext(r.Header.Get(HeaderNext))
	answer := new(Response)
	return answer, errors.Wrap(json.Unmarshal(data, answer), "decode answer")
}

// errorAnswer decodes an error answer. An answer that is not the API's own, such as a load balancer's, leaves the
// outcome of a change unknown.
func errorAnswer(status int, data []byte) error {
	e := &Error{StatusCode: status}
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return fmt.Errorf("HTTP status %d without an error of the operators' API", status)
	}
	return e
}

// sawNext raises the read position. It never goes back.
func (c *Client) sawNext(header string) {
	next, err := strconv.ParseUint(header, 10, 64)
	for err == nil {
		seen := c.next.Load()
		if next <= seen || c.next.CompareAndSwap(seen, next) {
			return
		}
	}
}
