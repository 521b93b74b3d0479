package distinct_test

import (
	"context"
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quincewinch/lib/distinct"
)

func open(t *testing.T) *distinct.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	connection, err := distinct.Dial(func(context.Context, string, string) (net.Conn, error) { return near, nil })(t.Context(), "", "")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection.(*distinct.Conn)
}

func expectClosed(t *testing.T, c *distinct.Conn) {
	t.Helper()
	_, err := c.Write([]byte("x"))
	is.New(t).True(err != nil)
}

func carry(t *testing.T, c *distinct.Conn, id string) {
	t.Helper()
	is.New(t).True(c.Begin(t.Context(), id))
	c.Answered()
}

func TestRequestIDThatReturnsClosesTheConnection(t *testing.T) {
	is := is.New(t)
	c := open(t)
	carry(t, c, "r1")
	carry(t, c, "r2")
	is.True(!c.Begin(t.Context(), "r1"))
	expectClosed(t, c)
}

func TestCallsWithoutIDMayFollowEachOther(t *testing.T) {
	c := open(t)
	carry(t, c, "")
	carry(t, c, "")
}

func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	is := is.New(t)
	c := open(t)
	n := 0
	for c.Begin(t.Context(), strconv.Itoa(n)) {
		c.Answered()
		n++
	}
	is.Equal(n, 256)
	expectClosed(t, c)
}

func TestRequestWaitsForTheAnswerBefore(t *testing.T) {
	begin := func(t *testing.T, end func(*distinct.Conn)) bool {
		c := open(t)
		is.New(t).True(c.Begin(t.Context(), "r1"))
		begun := make(chan bool)
		go func() { begun <- c.Begin(t.Context(), "r2") }()
		end(c)
		return <-begun
	}
	t.Run("answered", func(t *testing.T) {
		is.New(t).True(begin(t, (*distinct.Conn).Answered))
	})
	t.Run("closed", func(t *testing.T) {
		is.New(t).True(!begin(t, func(c *distinct.Conn) { _ = c.Close() }))
	})
	t.Run("given up", func(t *testing.T) {
		is := is.New(t)
		c := open(t)
		is.True(c.Begin(t.Context(), "r1"))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(!c.Begin(ctx, "r2"))
		expectClosed(t, c)
	})
}
