package routed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Guards against a control process that exits when its disk is full for some seconds, and
// with it stops serving what needs no disk. Each opening of the member fails until the
// disk has room again; then the member must be back by itself.
func TestMemberIsOpenedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		freeAt := time.Now().Add(4 * time.Second)
		opened := 0
		m := &memberRunner{open: func(func(error)) (*memberSession, error) {
			opened++
			if time.Now().Before(freeAt) {
				return nil, errors.New("no space left on device")
			}
			return &memberSession{}, nil
		}}
		noted := 0
		done := make(chan error, 1)
		go func() { done <- m.run(ctx, func(error) { noted++ }) }()
		time.Sleep(7 * time.Second)
		if m.current() == nil || noted != opened-1 || opened > 6 {
			t.Errorf("opened %d times, %d failures noted, member open %t; want at most 6, one less, true", opened, noted, m.current() != nil)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a damaged log that is opened again and again. The process must end with
// the error that names the damage.
func TestDamagedLogEndsTheProcess(t *testing.T) {
	m := &memberRunner{open: func(func(error)) (*memberSession, error) {
		return nil, &wal.DamageError{File: "log", Reason: "test"}
	}}
	var damaged *wal.DamageError
	if err := m.run(t.Context(), func(error) {}); !errors.As(err, &damaged) {
		t.Errorf("run returned %v, want a *wal.DamageError", err)
	}
}
