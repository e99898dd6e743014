package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

// FuzzLoad checks that any file yields valid settings or an *Error.
func FuzzLoad(f *testing.F) {
	f.Add("[vm]\nid = a\n")
	f.Add("[vm:x]\nzone = z\npeer = 1.2.3.4:5\n[listen]\npeers=0.0.0.0:1")
	f.Add("[backend:]\n=\n")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "f.ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := settings.Load(path)
		var refused *settings.Error
		if err != nil && !errors.As(err, &refused) {
			t.Errorf("%q: got %v, want a *settings.Error", text, err)
		}
		if err == nil && (s.Self.ID == "" || len(s.Self.Roles) == 0) {
			t.Errorf("%q: got settings without id or roles, want both or an error", text)
		}
	})
}
