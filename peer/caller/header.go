package caller

import (
	"net/http"
	"slices"
	"strings"
)

// droppedHeaders lists the hop-by-hop headers and those that backend servers
// must not receive.
var droppedHeaders = []string{
	"Authorization", "Cookie", "Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Accept-Encoding", "Expect",
}

// forwardedHeaders returns the headers of a request that are forwarded to the
// service.
func forwardedHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range droppedHeaders {
		kept.Del(name)
	}
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	return kept
}

func copyHeader(to http.Header, from map[string][]string) {
	for name, values := range from {
		if !slices.Contains(droppedHeaders, http.CanonicalHeaderKey(name)) {
			to[name] = values
		}
	}
}

// carriesKey reports whether the URL or any header except Authorization
// contains the key.
func carriesKey(r *http.Request, key string) bool {
	if key == "" {
		return false
	}
	if strings.Contains(r.URL.RequestURI(), key) || strings.Contains(r.URL.Path, key) {
		return true
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		if slices.ContainsFunc(values, func(value string) bool { return strings.Contains(value, key) }) {
			return true
		}
	}
	return false
}
