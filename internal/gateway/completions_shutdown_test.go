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

// Guards against a stream that ends without a word, as if its caller had left, since it was opened just before
// the process ends.
func TestStreamAtTheEndOfTheProcessIsAskedToReconnect(t *testing.T) {
	inBubble(t, func(v *vm) {
		time.AfterFunc(10*time.Millisecond, func() {
			v.handOver()
			v.end()
		})
		resp := v.post(coopKey, "waits", "", slowWork(true))
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		if err != nil || !strings.HasSuffix(string(got), ": reconnect\n\n") {
			t.Errorf("got %q and error %v, want to be asked to reconnect", got, err)
		}
	})
}

// Guards against an answer in one piece whose caller learns nothing at the end of the process.
func TestAnswerInOnePieceAtTheEndOfTheProcess(t *testing.T) {
	inBubble(t, func(v *vm) {
		time.AfterFunc(10*time.Millisecond, v.end)
		resp := v.post(coopKey, "waits", "", slowWork(false))
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		if err != nil || !strings.Contains(string(got), `"code":3006`) || !strings.Contains(string(got), `"ran":"unknown"`) {
			t.Errorf("got %q and error %v, want code 3006, ran: unknown", got, err)
		}
	})
}
