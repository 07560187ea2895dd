package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/httpapi"
)

var _ = register("submit", "Run a request or a job",
	"Runs one request, or with --job a job, through an entry and prints the answer. Exits with 0 if it completed, "+
		"1 if it failed, 3 if it was not run, 4 if the outcome is unknown.",
	func(e *Env) any { return &submitCommand{env: e} })

type submitCommand struct {
	env *Env
	entryOptions

	Service    string        `long:"service" required:"yes" description:"Service to call"`
	Payload    string        `long:"payload" description:"Payload of the request"`
	File       string        `long:"file" value-name:"FILE" description:"File with the payload or job; - for standard input"`
	Job        bool          `long:"job" description:"The payload is a job: {\"tasks\":[{\"payload\":...}]}"`
	Deadline   time.Duration `long:"deadline" description:"Deadline of a request"`
	Idempotent bool          `long:"idempotent" description:"Allow a retry of a request that may have run"`
	Key        string        `long:"key" description:"Idempotency key"`
	Need       string        `long:"need" value-name:"cpu=N,memory=SIZE,accelerators=N" description:"Resources that a request needs"`
}

// Execute submits the request or job and prints the answer.
func (c *submitCommand) Execute([]string) error {
	body, err := c.body()
	if err != nil {
		return Exit(ExitUsage, "submit: %w", err)
	}
	req := c.build(body)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := callEntry(req, resp, c.answerTimeout(c.Deadline)); err != nil {
		return err
	}
	return c.print(resp)
}

func (c *submitCommand) body() ([]byte, error) {
	if c.File == "" {
		return []byte(c.Payload), nil
	}
	if c.Payload != "" {
		return nil, fmt.Errorf("want either --payload or --file")
	}
	if c.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(c.File)
}

func (c *submitCommand) build(body []byte) *fasthttp.Request {
	resource := "/requests"
	if c.Job {
		resource = "/jobs"
	}
	req := c.request(fasthttp.MethodPost, "/v1/services/"+c.Service+resource)
	req.Header.Set(httpapi.HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	if c.Key != "" {
		req.Header.Set(httpapi.HeaderIdempotencyKey, c.Key)
	}
	if c.Deadline > 0 {
		req.Header.Set(httpapi.HeaderDeadline, c.Deadline.String())
	}
	if c.Need != "" {
		req.Header.Set(httpapi.HeaderNeed, c.Need)
	}
	req.SetBody(body)
	return req
}

func (c *submitCommand) print(resp *fasthttp.Response) error {
	if !c.env.JSON || c.Job {
		_, err := fmt.Fprintf(c.env.Stdout, "%s\n", resp.Body())
		return err
	}
	answer := requestAnswer{
		ID:    string(resp.Header.Peek(httpapi.HeaderSubmission)),
		State: string(resp.Header.Peek(httpapi.HeaderState)),
	}
	if utf8.Valid(resp.Body()) {
		answer.Body = bodyText(resp.Body())
	} else {
		answer.Binary = resp.Body()
	}
	return c.env.printJSON(answer)
}

// requestAnswer is the answer to a request in JSON output.
type requestAnswer struct {
	ID    string          `json:"id"`
	State string          `json:"state"`
	Body  json.RawMessage `json:"body"`
	// Binary is a body that is not UTF-8.
	Binary []byte `json:"body_base64,omitempty"`
}

// bodyText returns body unchanged if it is valid JSON, else as a JSON string.
func bodyText(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return nil
	}
	return quoted
}
