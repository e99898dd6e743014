package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestCheckAndExitCodes(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "vm.ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, tc := range []struct {
		name string
		args []string
		want int
	}{
		{"valid settings", []string{"--check", "--config", write("[vm]\nid = a\n")}, exitOK},
		{"no settings at all", []string{"--check"}, exitOK},
		{"unknown key", []string{"--check", "--config", write("[vm]\nidd = a\n")}, exitSettings},
		{"missing file", []string{"--check", "--config", "/none.ini"}, exitSettings},
		{"unknown flag", []string{"--chekc"}, exitSettings},
		{"help", []string{"--help"}, exitOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := run(tc.args); got != tc.want {
				t.Errorf("got exit code %d, want %d", got, tc.want)
			}
		})
	}
}
