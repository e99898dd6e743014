package telemetry

import (
	"bufio"
	"bytes"
	"expvar"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Expvar publishes a set of metrics by expvar, with the same names and values as its
// Prometheus text.
func Expvar(set *metrics.Set) expvar.Func {
	return func() any {
		var buf bytes.Buffer
		set.WritePrometheus(&buf)
		out := map[string]float64{}
		lines := bufio.NewScanner(&buf)
		for lines.Scan() {
			name, value, ok := splitLastField(lines.Text())
			if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
				out[name] = v
			}
		}
		return out
	}
}

// splitLastField splits a line at its last space, because labels may contain spaces.
func splitLastField(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
