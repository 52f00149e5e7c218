package logclient

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
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/vmapi"
)

// Defaults of Config.
const (
	// DefaultTimeout limits the duration of an append, and of a read in addition to its long-poll wait.
	DefaultTimeout = 10 * time.Second
	// DefaultMaxResponseBytes limits the size of one response body. A read of 64 snapshot chunks needs 5.4 MiB.
	DefaultMaxResponseBytes = 8 << 20

	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	// maxIdleConns is sufficient for one long poll and the concurrent appends of a follower.
	maxIdleConns  = 6
	maxErrorBytes = 512
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform, such as http://127.0.0.1:7000.
	URL string
	// Timeout limits the duration of an append, and of a read in addition to its long-poll wait. An earlier deadline of
	// the context takes precedence. Default: DefaultTimeout.
	Timeout time.Duration
	// MaxResponseBytes limits the size of one response body. Default: DefaultMaxResponseBytes.
	MaxResponseBytes int64
}

// Client sends requests to the log service. It is safe for concurrent use.
type Client struct {
	base      string
	cfg       Config
	transport *http.Transport
	http      *http.Client
}

// New validates the configuration and returns a client. It does not open a connection.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, errors.Wrap(err, "log service URL")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("log service URL %q must be http://host:port or https://host:port", cfg.URL)
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:      strings.TrimRight(cfg.URL, "/") + "/v1/log/",
		cfg:       cfg,
		transport: t,
		http:      &http.Client{Transport: t, CheckRedirect: noRedirect},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Append appends 1 to 256 records to a stream. The records get contiguous offsets. All errors are of type *AppendError.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (vmapi.AppendResponse, error) {
	var out vmapi.AppendResponse
	body, err := encodeAppend(records)
	if err != nil {
		return out, &AppendError{Err: err}
	}
	if err := ctx.Err(); err != nil {
		return out, &AppendError{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+url.PathEscape(stream), bytes.NewReader(body))
	if err != nil {
		return out, &AppendError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.do(req)
	if err != nil {
		return out, &AppendError{MayTakeEffect: !connectionRefused(err), Err: err}
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		noEffect := resp.StatusCode == http.StatusServiceUnavailable &&
			resp.Header.Get(vmapi.EffectHeader) == vmapi.EffectNone
		return out, &AppendError{MayTakeEffect: !noEffect, Err: statusError(resp)}
	}
	data, err := c.readBody(resp)
	if err == nil {
		out, err = parseAppend(data, len(records))
	}
	if err != nil {
		return vmapi.AppendResponse{}, &AppendError{MayTakeEffect: true, Err: err}
	}
	return out, nil
}

// parseAppend decodes the response to an append of n records.
func parseAppend(data []byte, n int) (vmapi.AppendResponse, error) {
	var out vmapi.AppendResponse
	if err := json.Unmarshal(data, &out); err != nil {
		return out, errors.Wrap(err, "decode append response of the log service")
	}
	if out.First == 0 || out.Next < out.First || out.Next-out.First < uint64(n) {
		return out, fmt.Errorf("append response has first offset %d and next offset %d for %d records", out.First, out.Next, n)
	}
	return out, nil
}

func encodeAppend(records [][]byte) ([]byte, error) {
	if len(records) == 0 || len(records) > vmapi.MaxAppendRecords {
		return nil, fmt.Errorf("append has %d records (permitted: 1 to %d)", len(records), vmapi.MaxAppendRecords)
	}
	body, err := json.Marshal(vmapi.AppendRequest{Records: records})
	if err != nil {
		return nil, err
	}
	if len(body) > vmapi.MaxAppendBytes {
		return nil, fmt.Errorf("append request body has %d bytes (permitted: at most %d)", len(body), vmapi.MaxAppendBytes)
	}
	return body, nil
}

// Read returns up to maxRecords records, starting at offset from. The records are contiguous. If there are none yet, the
// log service holds back its response for up to wait, at most 30 s, until a record is appended. The error is a *GoneError
// if the log service has already deleted the record at offset from.
func (c *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (
	vmapi.ReadResponse, error) {
	var out vmapi.ReadResponse
	waitMs := min(max(wait.Milliseconds(), 0), vmapi.MaxWaitMs)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("max", strconv.Itoa(maxRecords))
	q.Set("wait_ms", strconv.FormatInt(waitMs, 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+url.PathEscape(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return out, err
	}
	resp, err := c.do(req)
	if err != nil {
		return out, err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return out, statusError(resp)
	}
	data, err := c.readBody(resp)
	if err != nil {
		return out, err
	}
	if resp.StatusCode == http.StatusGone {
		return out, parseGone(data)
	}
	return parseRead(data, from)
}

func parseGone(data []byte) error {
	var out vmapi.ReadResponse
	if err := json.Unmarshal(data, &out); err != nil {
		return errors.Wrap(err, "decode read response of the log service")
	}
	if out.Oldest == 0 || out.Next < out.Oldest {
		return fmt.Errorf("response with status 410 has oldest offset %d and next offset %d", out.Oldest, out.Next)
	}
	return &GoneError{Oldest: out.Oldest, Next: out.Next}
}

// parseRead decodes the response to a read from offset from. It rejects a response in which an offset is missing, because
// a node that skipped records would derive a different state than the other nodes.
func parseRead(data []byte, from uint64) (vmapi.ReadResponse, error) {
	var out vmapi.ReadResponse
	if err := json.Unmarshal(data, &out); err != nil {
		return vmapi.ReadResponse{}, errors.Wrap(err, "decode read response of the log service")
	}
	for i, rec := range out.Records {
		if rec.Offset != from+uint64(i) {
			return vmapi.ReadResponse{}, fmt.Errorf("read response has offset %d, expected %d", rec.Offset, from+uint64(i))
		}
		if rec.Offset >= out.Next {
			return vmapi.ReadResponse{}, fmt.Errorf("read response has offset %d, but its next offset is %d", rec.Offset, out.Next)
		}
	}
	return out, nil
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil && errors.Is(err, context.DeadlineExceeded) {
		// The peer of the idle connections may be unreachable for the same reason, so the next request opens a new
		// connection.
		c.transport.CloseIdleConnections()
	}
	return resp, err
}

// readBody reads the whole response body. A body of more than MaxResponseBytes is ErrResponseTooLarge.
func (c *Client) readBody(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body of the log service")
	}
	if int64(len(data)) > c.cfg.MaxResponseBytes {
		return nil, ErrResponseTooLarge
	}
	return data, nil
}

func statusError(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		body = []byte(err.Error())
	}
	return &StatusError{Status: resp.StatusCode, Body: string(body)}
}

// drainAndClose closes the response body. It first discards up to maxErrorBytes of unread data, so that the connection can
// be reused.
func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
}
