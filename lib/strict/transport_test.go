package strict_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/lib/strict"
	"quincewinch/standin/raw"
)

// get returns the body of a raw answer.
func get(t *testing.T, answer raw.Answer) (string, error) {
	t.Helper()
	server := httptest.NewServer(raw.NewHandler(answer))
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	response, err := strict.Client(&http.Client{Transport: transport}).Get(server.URL)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against answers of servers in trouble that callers get as their answers.
func TestMalformedAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n"
	answers := raw.Malformed("")
	answers["blank in the name of a trailer"] = raw.Answer{Bytes: chunked + "X Y: 1\r\n\r\n"}
	answers["blank before the colon of a trailer"] = raw.Answer{Bytes: chunked + "X : 1\r\n\r\n"}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			_, err := get(t, answer)
			is.New(t).True(err != nil)
		})
	}
}

// Answers that are unusual and sound.
func TestSoundAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"value over two lines":          ok + "X: a\r\n b\r\nContent-Length: 6\r\n\r\nanswer",
		"length stated twice":           ok + "Content-Length: 6\r\nContent-Length: 6\r\n\r\nanswer",
		"odd name":                      ok + "!#$%&'*+-.^_`|~09: 1\r\nContent-Length: 6\r\n\r\nanswer",
		"no blank before a value":       ok + "X:1\r\nContent-Length:6\r\n\r\nanswer",
		"empty value":                   ok + "X:\r\nContent-Length: 6\r\n\r\nanswer",
		"lowercase names":               ok + "content-length: 6\r\n\r\nanswer",
		"chunks":                        ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"trailer":                       ok + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA: b\r\n\r\n",
		"trailer that was not declared": ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA: b\r\n\r\n",
		"early head":                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "Content-Length: 6\r\n\r\nanswer",
		"end with the connection":       ok + "\r\nanswer",
		"status 599":                    "HTTP/1.1 599 Odd\r\nContent-Length: 6\r\n\r\nanswer",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := get(t, raw.Answer{Bytes: answer})
			is.NoErr(err)
			is.Equal(body, "answer")
		})
	}
}

func TestValue(t *testing.T) {
	for name, test := range map[string]struct {
		values []string
		want   string
		ok     bool
	}{
		"none":                {nil, "", true},
		"one":                 {[]string{"a"}, "a", true},
		"the same twice":      {[]string{"a", "a"}, "a", true},
		"another one":         {[]string{"a", "b"}, "", false},
		"another one, empty":  {[]string{"a", ""}, "a", true},
		"an empty one before": {[]string{"", "a"}, "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, ok := strict.Value(http.Header{"X": test.values}, "x")
			is.Equal(value, test.want)
			is.Equal(ok, test.ok)
		})
	}
}
