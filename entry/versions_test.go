package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/platform/emulator"
)

// chatEngine is a model engine whose streams break off after their first event
// unless they are resumed.
type chatEngine struct {
	emulator.Server
	version string
	server  *httptest.Server
}

func (d *deployment) startChatEngine(id, version string) *chatEngine {
	e := &chatEngine{Server: emulator.Server{ID: id, Events: 3, Breaks: 1}, version: version}
	e.server = d.registerVersion(id, "chat", "decode", version, &e.Server)
	return e
}

// crash ends an engine and its registration.
func (e *chatEngine) crash(store *emulator.Store) {
	store.Remove("servers", e.ID)
	e.server.CloseClientConnections()
	e.server.Close()
}

// chat sends a stream request to a daemon, to be resumed after an event of
// another request if header says so. It returns the status and the body as far
// as it arrived.
func (d *deployment) chat(address, id string, header map[string]string) (int, string) {
	d.t.Helper()
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+address+"/chat/x", strings.NewReader("body"))
	d.is.NoErr(err)
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("X-Api-Key", "key-1")
	request.Header.Set("Deadline-Ms", "30000")
	request.Header.Set("Prompt-Prefix", "a:100,b:10")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	d.is.NoErr(err)
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body) // the stream may break off
	return answer.StatusCode, string(body)
}

// Guards against a caller's resume at another daemon that continues the stream
// at another software version.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	is := is.New(t)
	d := start(t)
	second := freeAddress(t)
	d.startDaemon("vm-2", second)
	engines := []*chatEngine{d.startChatEngine("i-a", "v1"), d.startChatEngine("i-b", "v2")}
	status, body := 0, ""
	for status != http.StatusOK {
		status, body = d.chat(d.callerAddress, "r1", nil)
	}
	is.Equal(body, "id: 1\ndata: token 1\n\n")
	first, other := engines[0], engines[1]
	if len(other.Runs()) > 0 {
		first, other = other, first
	}
	first.crash(d.store)
	resumes := map[string]string{"Resumes": "r1", "Last-Event-Id": "1"}
	status, _ = d.chat(second, "r2", resumes)
	is.Equal(status, http.StatusServiceUnavailable) // no engine of its version is left
	d.startChatEngine("i-c", first.version)
	for status != http.StatusOK {
		status, body = d.chat(second, "r3", resumes)
	}
	is.Equal(body, "id: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n")
	is.Equal(len(other.Runs()), 0)
}
