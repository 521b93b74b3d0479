// Package strict rejects HTTP answers that net/http takes for sound ones: with a status or
// the name of a field that HTTP does not have, or ended by a connection that was reset.
package strict

import (
	"io"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15). A final answer has no
// status below 200.
const maxStatus = 599

// Transport fails for answers that are none. It implements http.RoundTripper.
type Transport struct {
	next http.RoundTripper
}

// NewTransport returns a transport that checks the answers of another one.
func NewTransport(next http.RoundTripper) *Transport {
	return &Transport{next: next}
}

// Client returns a client that checks all answers and is otherwise like another one.
func Client(client *http.Client) *http.Client {
	if _, ok := client.Transport.(*Transport); ok {
		return client
	}
	checked := *client
	next := client.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	checked.Transport = NewTransport(next)
	return &checked
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CloseIdleConnections closes those of the transport whose answers are checked.
func (t *Transport) CloseIdleConnections() {
	(&http.Client{Transport: t.next}).CloseIdleConnections()
}

// Check returns an error unless an answer may have a status and the fields of a header.
// net/http accepts any number of three digits, a sign included, and blanks in names, such as
// one between a name and its colon: it does not take the field for what it may have been.
func Check(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Errorf("malformed answer: the status %d", status)
	}
	return checkNames(header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("malformed answer: the field name %q", name)
		}
	}
	return nil
}

// Value returns the value of a field that an answer may state once, empty if it is not
// stated. It reports false if the answer has different ones.
func Value(header http.Header, name string) (value string, ok bool) {
	for _, other := range header.Values(name) {
		switch {
		case other == "" || other == value:
		case value != "":
			return "", false
		default:
			value = other
		}
	}
	return value, true
}

// trailedBody is a body after which fields may come.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := checkNames(b.response.Trailer); err != nil {
			return n, err
		}
	}
	return n, err
}
