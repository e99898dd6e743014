package main

// route returns a route to a service.
func route(name, prefix, kind, service string, timeoutMS, targetMS int) map[string]any {
	out := map[string]any{
		"name": name, "host": host, names["prefix"]: prefix, names["kind"]: kind, "timeout_ms": timeoutMS, "latency_target_ms": targetMS,
		"priority": 1, "service": service, "max_attempts": 5, "public": false,
	}
	if kind == "streaming" {
		out["sticky"], out["resumable"], out["itl_target_ms"] = true, true, 700
	}
	return out
}

// callService and streamService return services in the format of the platform.
func callService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
}

func streamService(name string, slots int) map[string]any {
	out := callService(name)
	out["max_conns"] = 370
	out["engine"] = map[string]any{
		"slots": slots, "kv_capacity": 88000, "kv_token_bytes": 18432, "link_mbps": 280000.0, "moves": true, "backups": true,
		"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{"name": "m"}},
	}
	return out
}

// configuration returns a configuration with one tenant.
func configuration(version int, services, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, names["keys"]: []string{apiKey}, "priority": 1}},
	}
}
