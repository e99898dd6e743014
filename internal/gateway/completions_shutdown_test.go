package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// slowWork is a request whose second token comes after some 70 ms.
func slowWork(stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":40,"stream":%v}`, strings.Repeat("u", 3500), stream)
}

// Guards against a stream that learns of a shutdown only with its next event, and is cut off before.
func TestStreamThatWaitsIsAskedToReconnect(t *testing.T) {
	inBubble(t, func(v *vm) {
		const sent = 10 * time.Millisecond
		time.AfterFunc(sent, v.handOver)
		began := time.Now()
		resp := v.post(coopKey, "waits", "", slowWork(true))
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		if took := time.Since(began); err != nil || !strings.HasSuffix(string(got), ": reconnect\n\n") || took != sent {
			t.Errorf("got %q and error %v after %v, want to be asked to reconnect after %v", got, err, took, sent)
		}
	})
}
