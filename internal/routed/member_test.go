package routed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// A control VM whose disk refuses writes for some seconds goes on serving what
// needs no disk, and its member comes back by itself. In order: each opening fails
// until the disk has room again.
func TestMemberIsOpenedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		full := time.Now().Add(4 * time.Second)
		opened := 0
		m := &members{open: func(func(error)) (*membership, error) {
			opened++
			if time.Now().Before(full) {
				return nil, errors.New("no space left on device")
			}
			return &membership{}, nil
		}}
		noted := 0
		done := make(chan error, 1)
		go func() { done <- m.run(ctx, func(error) { noted++ }) }()
		time.Sleep(7 * time.Second)
		if m.current() == nil || noted != opened-1 || opened > 6 {
			t.Errorf("opened %d times, %d failures noted, a member: %t", opened, noted, m.current() != nil)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// A damaged log is not opened again and again: the process ends and says why.
func TestDamagedLogEndsTheProcess(t *testing.T) {
	m := &members{open: func(func(error)) (*membership, error) {
		return nil, &wal.DamageError{File: "log", Reason: "test"}
	}}
	var damaged *wal.DamageError
	if err := m.run(t.Context(), func(error) {}); !errors.As(err, &damaged) {
		t.Errorf("ended with %v", err)
	}
}
