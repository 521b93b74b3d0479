package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
	"quincewinch/standin/endless"
	"quincewinch/standin/silence"
)

// clients returns the HTTP clients for each kind of peer.
func clients() map[string]func() *http.Client {
	return map[string]func() *http.Client{
		"backend servers": func() *http.Client { return &http.Client{Transport: upstreamTransport(time.Second)} },
		"store":           storeClient,
		"duties":          dutyClient,
	}
}

func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	answers := []struct {
		name, first, repeated string
	}{
		{"no status", "", "\x00garbage"},
		{"one line", status + "A: ", "x"},
		{"lines", status, "A: x\r\n"},
		{"answers in advance", "", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
	}
	for to, newClient := range clients() {
		for _, answer := range answers {
			t.Run(to+"/"+answer.name, func(t *testing.T) {
				is := is.New(t)
				handler := endless.NewHandler(answer.first, answer.repeated)
				server := httptest.NewServer(handler)
				t.Cleanup(server.Close)
				client := newClient()
				read := endless.Count(client.Transport.(*http.Transport))
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
				is.NoErr(err)
				response, err := client.Do(request)
				if err == nil {
					is.NoErr(response.Body.Close())
				}
				is.True(err != nil) // it is no answer
				<-handler.Closed()
				t.Logf("%d bytes read", read.Load())
				is.True(read.Load() <= 128<<10) // bytes
			})
		}
	}
}

// connection is a connection of a client, with both of its ends.
type connection struct {
	is     *is.I
	client net.Conn
	server net.Conn
}

func connect(t *testing.T, client *http.Client) *connection {
	t.Helper()
	is := is.New(t)
	listener, err := silence.Listen(t.Context())
	is.NoErr(err)
	dial := client.Transport.(*http.Transport).DialContext
	near, err := dial(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	far, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(listener.Close())
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return &connection{is: is, client: near, server: far}
}

// change begins or ends a silence.
func (c *connection) change(change func(syscall.Conn) error) {
	c.is.NoErr(change(c.client.(syscall.Conn)))
	c.is.NoErr(change(c.server.(syscall.Conn)))
}

// pass sends a byte from one end to the other.
func (c *connection) pass(from, to net.Conn) {
	_, err := from.Write([]byte("x"))
	c.is.NoErr(err)
	_, err = to.Read(make([]byte, 1))
	c.is.NoErr(err)
}

func wait(d time.Duration) {
	timer := system.NewClock().NewTimer(d)
	<-timer.C()
}

// Guards against requests that break off because a sound server was silent for a moment.
func TestSilenceOfSoundServerBreaksNoConnection(t *testing.T) {
	t.Parallel()
	const (
		silent = 1500 * time.Millisecond
		phases = 4 // of the keep-alive interval in which the silence begins
	)
	for to, newClient := range clients() {
		for phase := range phases {
			before := 2*keepAliveInterval + time.Duration(phase)*keepAliveInterval/phases
			t.Run(fmt.Sprintf("%s/awaiting an answer for %s", to, before), func(t *testing.T) {
				t.Parallel()
				c := connect(t, newClient())
				c.pass(c.client, c.server)
				wait(before)
				c.change(silence.Begin)
				wait(silent)
				c.change(silence.End)
				wait(keepAliveInterval + keepAliveInterval/4) // until the next probe is due
				c.pass(c.server, c.client)
			})
		}
		t.Run(to+"/sending", func(t *testing.T) {
			t.Parallel()
			c := connect(t, newClient())
			c.pass(c.client, c.server)
			c.change(silence.Begin)
			_, err := c.client.Write([]byte("x"))
			c.is.NoErr(err)
			wait(silent)
			c.change(silence.End)
			_, err = c.server.Read(make([]byte, 1))
			c.is.NoErr(err)
			c.pass(c.server, c.client)
		})
	}
}

func TestConnectionThatIsSilentForGoodEnds(t *testing.T) {
	t.Parallel()
	for to, newClient := range clients() {
		for _, sending := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/sending=%t", to, sending), func(t *testing.T) {
				t.Parallel()
				c := connect(t, newClient())
				c.pass(c.client, c.server)
				c.change(silence.Begin)
				clock := system.NewClock()
				began := clock.Now()
				if sending {
					_, err := c.client.Write([]byte("x"))
					c.is.NoErr(err)
				}
				_, err := c.client.Read(make([]byte, 1))
				t.Logf("ended after %s: %v", clock.Now().Sub(began), err)
				c.is.True(err != nil)
			})
		}
	}
}
