package entry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics serves the measures of this process.
func (d *Daemon) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	return mux
}
