package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"
)

const maxAnswerBytes = 64 << 20

// Client speaks to the operators' address of a daemon.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// NewClient returns a client of a daemon at a base URL, with the operators'
// key.
func NewClient(base, key string, client *http.Client) *Client {
	return &Client{base: base, key: key, client: client}
}

// Problem is a daemon's refusal.
type Problem struct {
	Status   int
	Message  string
	Standing json.RawMessage // the row that won a race, if any
}

// Error returns the message.
func (p *Problem) Error() string {
	return p.Message
}

// Call sends a request and returns the answer's JSON. Version, where not
// empty, is the version of the row that an edit read.
func (c *Client) Call(ctx context.Context, method, path string, query url.Values, version string, body []byte) (json.RawMessage, error) {
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set("Authorization", bearerPrefix+c.key)
	if version != "" {
		r.Header.Set("If-Match", version)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, errors.Annotate(err, "the daemon did not answer")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotate(err, "the daemon's answer broke off")
	}
	if response.StatusCode/100 != 2 {
		return nil, decodeProblem(response.StatusCode, raw)
	}
	return raw, nil
}

func decodeProblem(status int, raw []byte) error {
	var form struct {
		Error    string          `json:"error"`
		Standing json.RawMessage `json:"standing"`
	}
	if err := json.Unmarshal(raw, &form); err != nil || form.Error == "" {
		return &Problem{Status: status, Message: "the daemon answered " + http.StatusText(status)}
	}
	return &Problem{Status: status, Message: form.Error, Standing: form.Standing}
}
