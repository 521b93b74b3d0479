package entry_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"quincewinch/standin/copies"
)

// Guards against a request that is reported as not run while a server runs it.
func TestRequestIDThatReturnsIsNotRefusedByACopy(t *testing.T) {
	is := is.New(t)
	d := prepare(t)
	handler := copies.NewHandler(copies.Refusal{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Executed": {"1"}}}, http.Header{"Upstream-Signature": {"s"}})
	d.register("i-trouble", "trouble", "", handler)
	d.startDaemon("vm-1", d.callerAddress)
	status, _ := d.post("/trouble/x", "r1", "key-1")
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = d.post("/trouble/x", "r1", "key-1")
	is.Equal(handler.Runs("r1"), 1)
	is.Equal(status, http.StatusOK)
}
