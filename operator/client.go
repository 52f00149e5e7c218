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
	// maxResponseBytes limits the size of a response other than a watch stream. A list of 10,000 VMs takes about 2 MB.
	maxResponseBytes = 64 << 20
	// maxOutcomeQueries limits how often the client queries an unknown outcome. The delay before a query starts at
	// initialOutcomeDelay and doubles each time, so the last query is sent 6.2 s after the first response. This is longer
	// than the replacement of the process on an entry VM takes.
	maxOutcomeQueries   = 5
	initialOutcomeDelay = 200 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	URL   string // of the operators' API, for example http://127.0.0.1:8081
	Token string // may be empty
	// HTTPClient sends the requests. Default: a new client without an overall timeout; the contexts limit the calls.
	HTTPClient *http.Client
	// Sleep waits before outcome queries and reconnects. It returns an error if the context ends first. Default: a timer.
	Sleep func(context.Context, time.Duration) error
}

// Client calls the operators' API. Errors of its methods are *Error for an error response of the API and *TransportError
// when no complete response was received. It is safe for concurrent use.
type Client struct {
	config     ClientConfig
	base       *url.URL
	nextOffset atomic.Uint64 // greatest Berylwharf-Next received
}

// TransportError is the failure of a request that got no complete response of the API.
type TransportError struct {
	// MayHaveTakenEffect is false if the request was certainly not sent.
	MayHaveTakenEffect bool
	Cause              error
}

// Error returns the message of the cause.
func (e *TransportError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// NewClient returns a client. It fails if the URL is not an absolute http or https URL, or if it contains credentials.
func NewClient(config ClientConfig) (*Client, error) {
	u, err := url.Parse(config.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
		return nil, fmt.Errorf("server %q is not a URL such as http://127.0.0.1:8081", config.URL)
	}
	if config.HTTPClient == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DialContext = (&net.Dialer{Timeout: 5 * time.Second}).DialContext
		config.HTTPClient = &http.Client{Transport: transport}
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	return &Client{config: config, base: u}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
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

// Get returns a resource. The error has CodeNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, key resource.Key) (*resource.Resource, error) {
	return call[resource.Resource](ctx, c, http.MethodGet, c.resourceURL(key, nil), nil)
}

// Put creates or changes a resource. If the outcome is unknown, Put queries it and sends the request again with the same
// identifier until the outcome is known or the attempts are exhausted. The error then has CodeOutcomeUnknown or
// CodeInternal, or is a *TransportError, and Change can be called later with req.ID, which Put sets if it is empty.
func (c *Client) Put(ctx context.Context, key resource.Key, req *PutRequest) (*ChangeResponse, error) {
	if req.ID == "" {
		req.ID = newRecordID().String()
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return c.sendChange(ctx, req.ID, func() (*ChangeResponse, error) {
		return call[ChangeResponse](ctx, c, http.MethodPut, c.resourceURL(key, nil), body)
	})
}

// Delete deletes a resource. It handles unknown outcomes as Put does.
func (c *Client) Delete(ctx context.Context, key resource.Key, req *DeleteRequest) (*ChangeResponse, error) {
	if req.ID == "" {
		req.ID = newRecordID().String()
	}
	query := url.Values{"base": {strconv.FormatUint(req.BaseVersion, 10)}, "id": {req.ID}, "author": {req.Author}}
	return c.sendChange(ctx, req.ID, func() (*ChangeResponse, error) {
		return call[ChangeResponse](ctx, c, http.MethodDelete, c.resourceURL(key, query), nil)
	})
}

// Change returns the outcome of a change. The error has CodeUnknownChange if the responding node does not know it.
func (c *Client) Change(ctx context.Context, id string) (*ChangeStatus, error) {
	return call[ChangeStatus](ctx, c, http.MethodGet, c.url(nil, "changes", id), nil)
}

// Nodes returns the state of the nodes as seen by the responding node.
func (c *Client) Nodes(ctx context.Context) (*NodesResponse, error) {
	return call[NodesResponse](ctx, c, http.MethodGet, c.url(nil, "nodes"), nil)
}

// sendChange sends a change and resolves an unknown outcome. Once an attempt has had an unknown outcome, only results that
// follow from the log are final: any other error response concerns its own request and says nothing about the earlier one.
func (c *Client) sendChange(ctx context.Context, id string, send func() (*ChangeResponse, error)) (*ChangeResponse, error) {
	response, firstErr := send()
	if !outcomeUnknown(firstErr) {
		return response, firstErr
	}
	delay := initialOutcomeDelay
	for range maxOutcomeQueries {
		if c.config.Sleep(ctx, delay) != nil {
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
		// The identifier makes the change idempotent, so it is safe to send it again. If the outcome is already known, the
		// response contains the details that the status lacks, such as the fields of a conflict.
		if response, err = send(); err == nil || known && isErrorResponse(err) || hasCode(err, CodeConflict) || hasCode(err, CodeIdentifierReused) {
			return response, err
		}
	}
	return nil, firstErr
}

// outcomeUnknown reports whether a change may have taken effect, or may still take effect, despite the error.
func outcomeUnknown(err error) bool {
	var te *TransportError
	if errors.As(err, &te) {
		return te.MayHaveTakenEffect
	}
	return hasCode(err, CodeOutcomeUnknown) || hasCode(err, CodeInternal)
}

// isErrorResponse reports whether the error is an error response of the API.
func isErrorResponse(err error) bool {
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

// call sends one request through go-kit's client transport.
func call[Response any](ctx context.Context, c *Client, method string, u *url.URL, body []byte) (*Response, error) {
	create := func(context.Context, any) (*http.Request, error) { return c.newRequest(ctx, method, u, body) }
	decode := func(_ context.Context, r *http.Response) (any, error) { return decodeResponse[Response](c, r) }
	response, err := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(c.config.HTTPClient)).Endpoint()(ctx, nil)
	if err != nil {
		return nil, clientError(err)
	}
	return response.(*Response), nil
}

func (c *Client) newRequest(ctx context.Context, method string, u *url.URL, body []byte) (*http.Request, error) {
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
	if nextOffset := c.nextOffset.Load(); nextOffset > 0 {
		r.Header.Set(HeaderNextOffset, strconv.FormatUint(nextOffset, 10))
	}
	return r, nil
}

// clientError returns an *Error unchanged and converts any other error to a *TransportError. If the connection could not be
// opened, the request was certainly not sent.
func clientError(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	return &TransportError{MayHaveTakenEffect: !dialFailed, Cause: err}
}

func decodeResponse[Response any](c *Client, r *http.Response) (*Response, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if len(data) > maxResponseBytes {
		return nil, fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	if r.StatusCode != http.StatusOK {
		return nil, decodeErrorResponse(r.StatusCode, data)
	}
	c.advanceNextOffset(r.Header.Get(HeaderNextOffset))
	response := new(Response)
	return response, errors.Wrap(json.Unmarshal(data, response), "decode response")
}

// decodeErrorResponse decodes an error response. A response that does not come from the API, for example from a load
// balancer, does not become an *Error, so the outcome of a change remains unknown.
func decodeErrorResponse(status int, data []byte) error {
	e := &Error{StatusCode: status}
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return fmt.Errorf("HTTP status %d, but the body is not an error response of the operators' API", status)
	}
	return e
}

// advanceNextOffset raises nextOffset to the value of the header. It never lowers it.
func (c *Client) advanceNextOffset(header string) {
	nextOffset, err := strconv.ParseUint(header, 10, 64)
	for err == nil {
		seen := c.nextOffset.Load()
		if nextOffset <= seen || c.nextOffset.CompareAndSwap(seen, nextOffset) {
			return
		}
	}
}
