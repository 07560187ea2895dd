package adminapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/internal/strictjson"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// DefaultTimeout bounds one request.
	DefaultTimeout = 10 * time.Second
	// maxResponse is the maximum size of a response body in bytes.
	maxResponse = 128 << 20
)

// ErrNoAnswer is wrapped by the error of each control host that did not answer.
var ErrNoAnswer = errors.New("no control host answered")

// Client sends requests to the control hosts in turn until one answers.
type Client struct {
	addrs   []string
	http    *fasthttp.Client
	timeout time.Duration
}

// NewClient returns a client for the given admin addresses.
func NewClient(id *keys.Identity, addrs []string) *Client {
	return &Client{
		addrs:   addrs,
		timeout: DefaultTimeout,
		http: &fasthttp.Client{
			Name:                      "fireflytray",
			TLSConfig:                 id.ClientTLS(wire.RoleControl),
			MaxResponseBodySize:       maxResponse,
			MaxIdemponentCallAttempts: 1,
		},
	}
}

// Get requests path with the given query and decodes the answer into out.
func (c *Client) Get(ctx context.Context, path, query string, out any) error {
	if query != "" {
		path += "?" + query
	}
	return c.do(ctx, fasthttp.MethodGet, path, nil, out)
}

// Post sends in as JSON and decodes the answer into out. The request may be
// executed more than once, so it must be idempotent.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := strictjson.Marshal(in)
	if err != nil {
		return fmt.Errorf("adminapi: encode request: %w", err)
	}
	return c.do(ctx, fasthttp.MethodPost, path, body, out)
}

// PostRaw sends body unchanged and decodes the answer into out.
func (c *Client) PostRaw(ctx context.Context, path string, body []byte, out any) error {
	return c.do(ctx, fasthttp.MethodPost, path, body, out)
}

// GetRaw returns the response body for path.
func (c *Client) GetRaw(ctx context.Context, path string) ([]byte, error) {
	var raw []byte
	err := c.do(ctx, fasthttp.MethodGet, path, nil, &raw)
	return raw, err
}

// do tries each address in turn. It continues with the next one if a host can't
// be reached or has no fresh quorum. If no host with a fresh quorum answers, out
// holds the last answer of a host without one, which may be outdated.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	var errs []error
	answered := false
	for _, addr := range c.addrs {
		fresh, err := c.sendTo(ctx, addr, method, path, body, out)
		if err == nil && fresh {
			return nil
		}
		if err != nil && (isDefinitive(err) || ctx.Err() != nil) {
			return err
		}
		answered = answered || err == nil
		errs = append(errs, err)
	}
	if answered {
		return nil
	}
	if len(errs) == 1 {
		return errs[0]
	}
	return errors.Join(errs...)
}

// isDefinitive reports whether every other control host would give the
// same answer.
func isDefinitive(err error) bool {
	var p *Problem
	return errors.As(err, &p) && p.Type != TypeNotFresh && p.Type != TypeUnknown
}

func (c *Client) sendTo(ctx context.Context, addr, method, path string, body []byte, out any) (fresh bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("https://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return false, fmt.Errorf("%w: %s %s at %s: %w", ErrNoAnswer, method, path, addr, err)
	}
	if err := decode(resp, out); err != nil {
		return false, fmt.Errorf("%s %s at %s: %w", method, path, addr, err)
	}
	return string(resp.Header.Peek(HeaderFresh)) != "false", nil
}

func decode(resp *fasthttp.Response, out any) error {
	if resp.StatusCode() >= fasthttp.StatusBadRequest && string(resp.Header.ContentType()) == ProblemType {
		p := new(Problem)
		if err := strictjson.Unmarshal(resp.Body(), p); err != nil {
			return fmt.Errorf("decode problem: %w", err)
		}
		return p
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = append([]byte(nil), resp.Body()...)
		return nil
	}
	if err := strictjson.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer %d: %w", resp.StatusCode(), err)
	}
	return nil
}

// The content types of answers.
const (
	JSONType    = "application/json"
	ProblemType = "application/problem+json"
)
