package routed

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// settingsCheckInterval is how often the settings file is checked for a change, which
// may come without a signal.
const settingsCheckInterval = 1 * time.Second

// Process is a Router or a ControlProcess.
type Process interface {
	SetSeeds(seeds []string)
	Shutdown()
}

// Supervisor runs a process: it handles signals, changes of the settings file and
// fatal faults.
type Supervisor struct {
	Path string // of the settings file
	// ReadSeeds reads the file and returns the seeds. After an error the settings in
	// force stay. The file may be half written, and is read again when it changes.
	ReadSeeds func() ([]string, error)
	Failure   <-chan error // a fault from it ends the process; nil if there can be none
	Log       zerolog.Logger
}

// Signals subscribes to the signals that Run handles. It must be called before the
// process starts, because a signal that arrives earlier would kill it.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// Run handles signals, changes of the settings file and faults until the process ends.
// It returns the fault that ended the process, or nil after a planned shutdown.
func (s *Supervisor) Run(p Process, signals <-chan os.Signal) error {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	file := newFileWatcher(s.Path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				s.Log.Info().Str("signal", sig.String()).Msg("shutting down")
				p.Shutdown()
				s.Log.Info().Msg("ended")
				return nil
			}
			s.reload(p)
		case <-ticker.C:
			if file.changed() {
				s.reload(p)
			}
		case err := <-s.Failure:
			s.Log.Error().Err(err).Msg("fatal fault; this process stops")
			return err
		}
	}
}

func (s *Supervisor) reload(p Process) {
	seeds, err := s.ReadSeeds()
	if err != nil {
		s.Log.Warn().Err(err).Msg("settings file could not be read; keeping the settings in force")
		return
	}
	p.SetSeeds(seeds)
	s.Log.Info().Strs("seeds", seeds).Msg("settings read")
}

// fileWatcher detects changes of a file by its size and modification time.
type fileWatcher struct {
	path    string
	size    int64
	modTime time.Time
}

func newFileWatcher(path string) *fileWatcher {
	f := &fileWatcher{path: path}
	f.changed()
	return f
}

func (f *fileWatcher) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false // being replaced; the next check sees the new file
	}
	changed := info.Size() != f.size || !info.ModTime().Equal(f.modTime)
	f.size, f.modTime = info.Size(), info.ModTime()
	return changed
}
