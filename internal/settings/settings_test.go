package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/settings"
)

func load(t *testing.T, text string) (*settings.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "vm.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings.Load(path)
}

func TestErrorsNamePlaceAndAllowedValues(t *testing.T) {
	for _, tc := range []struct {
		name, text, section, key, allowed string
	}{
		{"unknown section", "[vms]\nx=1\n", "vms", "", "backend:<name>"},
		{"unknown key", "[vm]\nzome = a\n", "vm", "zome", "data_dir, id, roles, zone"},
		{"unknown role", "[vm]\nroles = router, boss\n", "vm", "roles", "router, control"},
		{"name instead of IP number", "[listen]\ncallers = localhost:80\n", "listen", "callers", "IP number"},
		{"duration too long", "[policy]\nfreshness_lease = 2h\n", "policy", "freshness_lease", "from 1s to 1m0s"},
		{"unknown objective", "[policy]\nobjective = speed\n", "policy", "objective", "extra-work | resume-latency"},
		{"backend without address", "[backend:e1]\nmodels = m\n", "backend:e1", "address", "ip:port"},
		{"VM without zone", "[vm:vm2]\npeer = 127.0.0.1:1\n", "vm:vm2", "peer", "zone"},
		{"open operator listener", "[listen]\noperators = 0.0.0.0:7401\n", "listen", "operators", "set the token"},
		{"open peer listener", "[listen]\npeers = 10.0.0.1:7402\n", "listen", "peers", "set the token"},
		{"number out of range", "[policy]\nmax_body_bytes = 5\n", "policy", "max_body_bytes", "1024"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := load(t, tc.text)
			var refused *settings.Error
			if !errors.As(err, &refused) {
				t.Fatalf("got %v, want a *settings.Error", err)
			}
			if refused.Section != tc.section || refused.Key != tc.key || !strings.Contains(refused.Allowed, tc.allowed) {
				t.Errorf("got section %q key %q allowed %q", refused.Section, refused.Key, refused.Allowed)
			}
			if !strings.HasSuffix(refused.File, "vm.ini") {
				t.Errorf("file %q", refused.File)
			}
		})
	}
}

func TestEveryProblemIsReported(t *testing.T) {
	_, err := load(t, "[vm]\nroles = boss\n[log]\nlevel = loud\n")
	if err == nil || !strings.Contains(err.Error(), "roles") || !strings.Contains(err.Error(), "level") {
		t.Errorf("got %v, want both problems", err)
	}
}

func TestMissingFile(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.ini"))
	var refused *settings.Error
	if !errors.As(err, &refused) || !strings.HasSuffix(refused.File, "none.ini") {
		t.Errorf("got %v", err)
	}
}

func TestValidFile(t *testing.T) {
	s, err := load(t, `
[vm]
id = vm2
zone = sandton
roles = router,control
data_dir = /var/lib/amaranthshelf
[listen]
callers = 10.1.0.2:7400
operators = 127.0.0.1:7401
peers = 10.1.0.2:7402
[tokens]
peer = secret
[vm:vm1]
zone = midrand
roles = control
peer = 10.1.0.1:7402
callers = 10.1.0.1:7400
[backend:engine1]
address = 10.1.1.1:8000
zone = sandton
models = diagnosis, desk
fences = true
[policy]
objective = resume-latency
`)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.VMs) != 2 || s.VMs[0].ID != "vm1" || s.VMs[1].ID != "vm2" || s.VMs[1].Peer != "10.1.0.2:7402" {
		t.Errorf("VMs %+v", s.VMs)
	}
	if b := s.Backends[0]; b.Name != "engine1" || len(b.Models) != 2 || !b.Fences {
		t.Errorf("backend %+v", b)
	}
	if s.Objective != settings.ResumeLatency || !s.Self.HasRole(settings.RoleRouter) {
		t.Errorf("settings %+v", s)
	}
}
