package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"quincewinch/lib/strict"
)

const maxResponseBytes = 64 << 20

// Client calls a daemon's operator API.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// NewClient returns a client for the daemon at a base URL that authenticates
// with the operators' key.
func NewClient(base, key string, client *http.Client) *Client {
	return &Client{base: base, key: key, client: strict.Client(client)}
}

// ResponseError is an unsuccessful response of a daemon.
type ResponseError struct {
	Status     int
	Message    string
	CurrentRow json.RawMessage // after an edit conflict, if known
}

// Error returns the message.
func (p *ResponseError) Error() string {
	return p.Message
}

// Call sends a request and returns the JSON of the response. If version is not
// empty, it is sent as If-Match: the row version that an edit is based on.
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Annotate(err, "the daemon's answer broke off")
	}
	if response.StatusCode/100 != 2 {
		return nil, decodeError(response.StatusCode, raw)
	}
	return raw, nil
}

func decodeError(status int, raw []byte) error {
	var body struct {
		Error      string          `json:"error"`
		CurrentRow json.RawMessage `json:"standing"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || body.Error == "" {
		return &ResponseError{Status: status, Message: "the daemon answered " + http.StatusText(status)}
	}
	return &ResponseError{Status: status, Message: body.Error, CurrentRow: body.CurrentRow}
}
