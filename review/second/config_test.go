package second

// route returns a route of the configuration.
func route(name, kind, service string, attempts, timeoutMS int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
		"attempts": attempts, "timeout_ms": timeoutMS, "target_latency_ms": 500, "priority": 1,
	}
	for field, value := range more {
		r[field] = value
	}
	return r
}

// configure writes the first configuration: one stream, one request that must not be
// repeated and one that may.
func (l *lab) configure() {
	l.store.Put("op", "config", encode(map[string]any{
		"version": 7,
		"routes": []any{
			route("quote", "stream", "llm", 3, 8000, map[string]any{"sticky": true, "resumable": true, "gap_aim_ms": 300}),
			route("match", "stream", "llm", 1, 6000, map[string]any{"sticky": true, "target_latency_ms": 800, "gap_aim_ms": 300, "priority": 2}),
			route("reserve", "non_idempotent", "desk", 1, 1200, nil),
			route("lookup", "idempotent", "desk", 2, 1200, nil),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_check": "/healthz", "max_connections": 360, "engine": map[string]any{
				"slots": 64, "kv_capacity": 500904, "kv_token_bytes": 35136, "link_mbps": 370000, "kv_ttl_s": 5, "stage_switch_s": 3, "stride": 7,
			}},
			map[string]any{"name": "desk", "health_check": "/healthz", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "sales", "api_keys": []any{"key-of-sales"}},
			map[string]any{"name": "stock", "api_keys": []any{"key-of-stock"}},
		},
	}))
}
