package entry

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/platform"
)

// Guards against requests that arrive after they were given up: only a reset
// discards what a partition holds up.
func TestGivenUpRequestResetsItsConnection(t *testing.T) {
	clients := map[string]*http.Client{
		"backend servers": {Transport: platform.NewTransport(upstreamTransport)},
		"their transport": {Transport: upstreamTransport(time.Second)},
		"duties":          dutyClient(),
	}
	for to, client := range clients {
		t.Run(to, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { is.NoErr(listener.Close()) }()
			ctx, giveUp := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					ended <- err
					return
				}
				giveUp()
				_, err = reader.ReadByte()
				ended <- err
			}()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), http.NoBody)
			is.NoErr(err)
			response, err := client.Do(request)
			if err == nil {
				is.NoErr(response.Body.Close())
			}
			is.True(errors.Is(err, context.Canceled))
			is.True(errors.Is(<-ended, syscall.ECONNRESET)) // rather than EOF
		})
	}
}
