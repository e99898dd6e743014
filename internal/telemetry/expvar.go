package telemetry

import (
	"bufio"
	"bytes"
	"expvar"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Expvar shows a set of counters as expvar does: one source for both.
func Expvar(set *metrics.Set) expvar.Func {
	return func() any {
		var buf bytes.Buffer
		set.WritePrometheus(&buf)
		out := map[string]float64{}
		lines := bufio.NewScanner(&buf)
		for lines.Scan() {
			name, value, ok := cutLast(lines.Text())
			if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
				out[name] = v
			}
		}
		return out
	}
}

// cutLast splits a line before its last field: a label may hold spaces.
func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
